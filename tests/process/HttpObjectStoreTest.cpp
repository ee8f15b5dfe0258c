#include <anvilwalk/process/objectapi/HttpObjectStore.h>
#include <fakes/ScriptedHttpServer.h>

#include <catch2/catch.hpp>
#include <thread>

using namespace anvilwalk;
using namespace std::chrono_literals;
using anvilwalk::fakes::ScriptedHttpServer;

namespace {

std::string makeResponse(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& text)
{
    std::ostringstream stream;
    stream << std::hex << text.size() << "\r\n" << text << "\r\n";
    return stream.str();
}

const std::string chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string objectText
    = R"({"kind":"leases","metadata":{"name":"lima-a","resourceVersion":"7"},"spec":{"holder":"vm-1"}})";

HttpObjectStore makeStore(const ScriptedHttpServer& server, std::chrono::milliseconds deadline = 2s)
{
    return HttpObjectStore({ .endpoint = server.endpoint(), .callDeadline = deadline, .watchGrace = 200ms });
}

} // namespace

TEST_CASE("HttpObjectStore sends the requests of the protocol and parses the responses")
{
    ScriptedHttpServer server({ makeResponse("200 OK", objectText), makeResponse("201 Created", objectText),
        makeResponse("200 OK", objectText), makeResponse("200 OK", "{}"),
        makeResponse("200 OK", R"({"metadata":{"resourceVersion":"9"},"items":[)" + objectText + "]}") });
    HttpObjectStore store = makeStore(server);
    const auto object = store.get("leases", "lima-a");
    REQUIRE(isOk(object));
    CHECK(valueOf(object).version == StoreVersion(7));
    CHECK(valueOf(object).spec["holder"] == "vm-1");
    CHECK(isOk(store.create("leases", "lima-a", { { "holder", "vm-1" } })));
    CHECK(isOk(store.update("leases", "lima-a", { { "holder", "vm-1" } }, StoreVersion(6))));
    CHECK(isOk(store.remove("leases", "a/b", StoreVersion(6))));
    const auto list = store.list("leases");
    REQUIRE(isOk(list));
    CHECK(valueOf(list).version == StoreVersion(9));
    CHECK(valueOf(list).items.size() == 1);

    const auto startsWith = [&](std::size_t index, const std::string& text) {
        return server.requests()[index].substr(0, text.size()) == text;
    };
    CHECK(startsWith(0, "GET /apis/anvilwalk.example/v1/leases/lima-a HTTP/1.1\r\n"));
    CHECK(startsWith(1, "POST /apis/anvilwalk.example/v1/leases HTTP/1.1\r\n"));
    CHECK(startsWith(2, "PUT /apis/anvilwalk.example/v1/leases/lima-a HTTP/1.1\r\n"));
    CHECK(server.requests()[2].find(R"("resourceVersion":"6")") != std::string::npos);
    CHECK(startsWith(3, "DELETE /apis/anvilwalk.example/v1/leases/a%2Fb?resourceVersion=6 HTTP/1.1\r\n"));
}

TEST_CASE("HttpObjectStore distinguishes writes without effect from writes that may have taken effect")
{
    SECTION("no connection")
    {
        Ipv4Endpoint closedPort;
        {
            const ScriptedHttpServer server({});
            closedPort = server.endpoint();
        }
        HttpObjectStore store({ .endpoint = closedPort });
        CHECK(errorOf(store.create("leases", "a", {})).code == ErrorCode::Unavailable);
    }
    SECTION("connection closed without a response")
    {
        ScriptedHttpServer server({ "", "" });
        HttpObjectStore store = makeStore(server);
        CHECK(errorOf(store.create("leases", "a", {})).code == ErrorCode::Unknown);
        CHECK(errorOf(store.get("leases", "a")).code == ErrorCode::Unavailable);
    }
    SECTION("no response within the deadline")
    {
        ScriptedHttpServer server({ "" });
        server.holdLast();
        HttpObjectStore store = makeStore(server, 100ms);
        const auto start = std::chrono::steady_clock::now();
        CHECK(errorOf(store.update("leases", "a", {}, StoreVersion(1))).code == ErrorCode::Unknown);
        CHECK(std::chrono::steady_clock::now() - start < 1500ms);
    }
    SECTION("a response that is truncated or not an object")
    {
        ScriptedHttpServer server({ "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{", makeResponse("200 OK", "[]") });
        HttpObjectStore store = makeStore(server);
        CHECK(errorOf(store.update("leases", "a", {}, StoreVersion(1))).code == ErrorCode::Unknown);
        CHECK(errorOf(store.update("leases", "a", {}, StoreVersion(1))).code == ErrorCode::Unknown);
    }
    SECTION("error statuses")
    {
        const std::vector<std::pair<std::string, ErrorCode>> cases { { "404 Not Found", ErrorCode::NotFound },
            { "409 Conflict", ErrorCode::Conflict }, { "410 Gone", ErrorCode::Gone },
            { "503 Service Unavailable", ErrorCode::Unavailable }, { "500 Internal", ErrorCode::Unknown },
            { "504 Timeout", ErrorCode::Unknown } };
        for (const auto& [status, code] : cases) {
            ScriptedHttpServer server({ makeResponse(status, "{}") });
            CHECK(errorOf(makeStore(server).update("leases", "a", {}, StoreVersion(1))).code == code);
        }
    }
}

TEST_CASE("HttpObjectStore parses watch events that are split across chunks")
{
    const std::string event = R"({"type":"MODIFIED","object":)" + objectText + "}\n";
    std::vector<StoreVersion> seen;
    const auto handler = [&](const WatchEvent& watchEvent) {
        seen.push_back(watchEvent.object.version);
        return true;
    };
    SECTION("ended by the server")
    {
        ScriptedHttpServer server(
            { chunkedHeader + chunk(event.substr(0, 20)) + chunk(event.substr(20) + event) + "0\r\n\r\n" });
        CHECK(isOk(makeStore(server).watch("leases", StoreVersion(3), 5s, handler)));
        CHECK(seen.size() == 2);
        CHECK(server.requests()[0].find("leases?watch=true&resourceVersion=3&timeoutSeconds=5 ") != std::string::npos);
    }
    SECTION("connection lost")
    {
        ScriptedHttpServer server({ chunkedHeader + chunk(event) });
        CHECK(errorOf(makeStore(server).watch("leases", StoreVersion(3), 5s, handler)).code == ErrorCode::Unavailable);
        CHECK(seen.size() == 1);
    }
    SECTION("version too old")
    {
        ScriptedHttpServer server({ makeResponse("410 Gone", "{}"),
            chunkedHeader + chunk("{\"type\":\"ERROR\",\"object\":{\"code\":410}}\n") });
        CHECK(errorOf(makeStore(server).watch("leases", StoreVersion(3), 5s, handler)).code == ErrorCode::Gone);
        CHECK(errorOf(makeStore(server).watch("leases", StoreVersion(3), 5s, handler)).code == ErrorCode::Gone);
    }
    SECTION("no data until after the timeout")
    {
        ScriptedHttpServer server({ chunkedHeader });
        server.holdLast();
        CHECK(errorOf(makeStore(server).watch("leases", StoreVersion(3), 1s, handler)).code == ErrorCode::Unavailable);
    }
    SECTION("stopped by the caller")
    {
        ScriptedHttpServer server({ chunkedHeader + chunk(event) });
        server.holdLast();
        std::stop_source stop;
        const auto stopAtEvent = [&](const WatchEvent&) { return stop.request_stop(); };
        const auto start = std::chrono::steady_clock::now();
        const Status ended
            = makeStore(server).watchUntilStopped("leases", StoreVersion(3), 60s, stopAtEvent, stop.get_token());
        CHECK(errorOf(ended).code == ErrorCode::Unavailable);
        CHECK(std::chrono::steady_clock::now() - start < 10s);
    }
}

TEST_CASE("HttpObjectStore accepts only URLs of the form http://address:port")
{
    CHECK(valueOf(HttpObjectStore::parseUrl("http://127.0.0.1:8001/")).port == 8001);
    for (const char* invalidUrl :
        { "", "127.0.0.1:8001", "https://127.0.0.1:8001", "http://host:1", "http://127.0.0.1:1/x" })
        CHECK_FALSE(isOk(HttpObjectStore::parseUrl(invalidUrl)));
}
