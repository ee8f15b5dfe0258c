#include <anvilwalk/Commands.h>
#include <anvilwalk/WhereTable.h>
#include <fakes/ScriptedHttpServer.h>

#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>

using namespace anvilwalk;
using anvilwalk::fakes::ScriptedHttpServer;

namespace {

const std::string placedAnswer = R"({"balancer":"front-1","data_centre":"lima-a","client":"100.64.0.7:40001",
"service_address":"198.18.0.1:443","route":"board","priority":1,"service":"user/board","refusal":null,
"admitted_share":0.25,"inputs":{"config_version":3,"targets_version":20,"targets_age_ms":700,"routes_age_ms":1200,
"evacuations_age_ms":900,"evacuated_data_centres":["lima-c"],"load_summary":{"age_ms":800,"balancers":21}},
"targets":[{"name":"i-1","data_centre":"lima-c","remote":true,"rank":"unusable","reason":"evacuated","share":0.0,
"own_load":1.83,"load":0.5,"slowdown":1.0},{"name":"i-2","data_centre":"lima-a","remote":false,"rank":"responsive",
"reason":"none","share":1.0,"own_load":0.33,"load":0.7,"slowdown":1.8}]})";

const std::string noRouteAnswer = R"({"balancer":"front-1","data_centre":"lima-a","client":"100.64.0.7:40001",
"service_address":"198.18.0.9:443","route":null,"priority":null,"service":null,"refusal":"unknown_address",
"admitted_share":1.0,"inputs":{"config_version":3,"targets_version":20,"targets_age_ms":null,"routes_age_ms":1200,
"evacuations_age_ms":null,"evacuated_data_centres":[],"load_summary":null},"targets":[]})";

std::string makeResponse(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What a run of the command printed.
struct Run {
    ExitCode code;
    std::string output;
    std::string errors;
};

Run run(const CommandOptions& options)
{
    std::ostringstream output;
    std::ostringstream errors;
    std::streambuf* const outputBuffer = std::cout.rdbuf(output.rdbuf());
    std::streambuf* const errorBuffer = std::cerr.rdbuf(errors.rdbuf());
    const ExitCode code = runWhere(options);
    std::cout.rdbuf(outputBuffer);
    std::cerr.rdbuf(errorBuffer);
    return { .code = code, .output = output.str(), .errors = errors.str() };
}

CommandOptions makeOptions(const Ipv4Endpoint& balancer, bool json = false)
{
    CommandOptions options;
    options.balancer = balancer.toString();
    options.client = "100.64.0.7:40001";
    options.service = "198.18.0.1:443";
    options.json = json;
    return options;
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

// Guards against a table that lacks the route, an age or the reason of a target.
TEST_CASE("anvilwalk where prints the choice, the inputs with their ages and each target")
{
    ScriptedHttpServer server({ makeResponse("200 OK", placedAnswer) });
    const Run result = run(makeOptions(server.endpoint()));
    CHECK(result.code == ExitCode::Success);
    REQUIRE(server.requests().size() == 1);
    CHECK(server.requests().front().starts_with("GET /v1/where/100.64.0.7:40001/198.18.0.1:443 HTTP/1.1\r\n"));
    for (const char* expected : { "Balancer front-1 in lima-a, connection 100.64.0.7:40001 > 198.18.0.1:443",
             "Route board, priority 1, service user/board", "Configuration 3, age 1.2 s",
             "targets of store version 20, age 0.7 s", "Evacuated: lima-c, age 0.9 s",
             "Load summary of 21 balancers, age 0.8 s", "lets 25% of such flows pass", "evacuated", "responsive" }) {
        INFO(expected);
        CHECK(contains(result.output, expected));
    }
    // The target that may be chosen comes first.
    CHECK(result.output.find("i-2 ") < result.output.find("i-1 "));
}

TEST_CASE("anvilwalk where --json prints the answer unchanged")
{
    ScriptedHttpServer server({ makeResponse("200 OK", placedAnswer) });
    const Run result = run(makeOptions(server.endpoint(), true));
    CHECK(result.code == ExitCode::Success);
    CHECK(result.output == placedAnswer);
}

// Guards against a script that takes a refused connection for a placed one.
TEST_CASE("anvilwalk where reports a connection that would be refused by its exit code")
{
    for (const bool json : { false, true }) {
        ScriptedHttpServer server({ makeResponse("200 OK", noRouteAnswer) });
        const Run result = run(makeOptions(server.endpoint(), json));
        CHECK(result.code == ExitCode::Incomplete);
        CHECK(contains(result.output, json ? "unknown_address" : "no route has this service address"));
    }
}

// Guards against an unclear error, or success, when the answer does not come from a balancer that knows the command.
TEST_CASE("anvilwalk where reports a server that gives no usable answer")
{
    for (const std::string& answer : { makeResponse("404 Not Found", ""), makeResponse("200 OK", "# HELP metrics"),
             makeResponse("200 OK", "{}"), std::string() }) {
        INFO(answer);
        ScriptedHttpServer server({ answer });
        const Run result = run(makeOptions(server.endpoint()));
        CHECK(result.code == ExitCode::StoreUnavailable);
        CHECK(contains(result.errors, server.endpoint().toString()));
        CHECK(result.output.empty());
    }
    Ipv4Endpoint closed;
    {
        ScriptedHttpServer server({});
        closed = server.endpoint();
    }
    const Run result = run(makeOptions(closed));
    CHECK(result.code == ExitCode::StoreUnavailable);
    CHECK(contains(result.errors, "does not answer"));
}

// Guards against a query with an address that the operator did not mean.
TEST_CASE("anvilwalk where reports every invalid address")
{
    CommandOptions options;
    options.client = "100.64.0.7";
    options.service = "198.18.0.1:70000";
    const Run result = run(options);
    CHECK(result.code == ExitCode::Usage);
    CHECK(contains(result.errors, "--balancer is required"));
    CHECK(contains(result.errors, "--client 100.64.0.7 is not an address with a port"));
    CHECK(contains(result.errors, "--service 198.18.0.1:70000 is not an address with a port"));
}
