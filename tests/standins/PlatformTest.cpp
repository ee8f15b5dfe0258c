#include <catch2/catch.hpp>
#include <common/HttpClient.h>
#include <platform/PlatformServer.h>

using namespace anvilwalk;
using namespace anvilwalk::standins;
using nlohmann::json;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::chrono::seconds callTimeout { 30 };

// A platform on a free port; calls run the server and the client in the test's thread.
class PlatformFixture {
public:
    HttpResult call(const std::string& method, const std::string& path, const json& body = nullptr)
    {
        std::optional<HttpResult> result;
        const HttpUrl url { { { loopback }, m_server.port() }, path };
        httpRequest(m_context, method, url, body.is_null() ? "" : body.dump(), callTimeout,
            [&result](const HttpResult& answer) { result = answer; });
        while (!result)
            m_context.run_one();
        return *result;
    }

    static std::string path(const std::string& rest) { return "/apis/anvilwalk.example/v1/" + rest; }

    static json object(const std::string& name, const std::string& version, const json& spec)
    {
        return { { "metadata", { { "name", name }, { "resourceVersion", version } } }, { "spec", spec } };
    }

    static std::string versionOf(const HttpResult& result)
    {
        return json::parse(result.body)["metadata"]["resourceVersion"];
    }

private:
    boost::asio::io_context m_context;
    PlatformServer m_server { m_context, { { loopback }, 0 }, 100 };
};

} // namespace

// Guards against a platform stand-in that lets two writers with the same version both succeed.
TEST_CASE_METHOD(PlatformFixture, "Platform refuses an update whose version is not the current one")
{
    const auto created = call("POST", path("leases"), object("lima-a", "", 1));
    REQUIRE(created.status == 201);
    CHECK(call("POST", path("leases"), object("lima-a", "", 2)).status == 409);

    const std::string version = versionOf(created);
    CHECK(call("PUT", path("leases/lima-a"), object("lima-a", version, 2)).status == 200);
    CHECK(call("PUT", path("leases/lima-a"), object("lima-a", version, 3)).status == 409);
    CHECK(call("DELETE", path("leases/lima-a?resourceVersion=" + version)).status == 409);
    CHECK(json::parse(call("GET", path("leases/lima-a")).body)["spec"] == 2);
    CHECK(call("GET", path("leases/lima-b")).status == 404);
}

// Guards against watches that skip, repeat or reorder a change.
TEST_CASE_METHOD(PlatformFixture, "Platform streams every change after the version of a list")
{
    REQUIRE(call("POST", path("statuses"), object("before", "", 0)).status == 201);
    const std::string listed = versionOf(call("GET", path("statuses")));
    const std::string version = versionOf(call("POST", path("statuses"), object("a", "", 1)));
    REQUIRE(call("PUT", path("statuses/a"), object("a", version, 2)).status == 200);
    REQUIRE(call("POST", path("leases"), object("other-kind", "", 0)).status == 201);

    const auto watch = call("GET", path("statuses?watch=true&timeoutSeconds=0&resourceVersion=" + listed));
    REQUIRE(watch.status == 200);
    std::istringstream lines(watch.body);
    std::vector<std::string> seen;
    for (std::string line; std::getline(lines, line);) {
        const json event = json::parse(line);
        seen.push_back(event["type"].get<std::string>() + " " + event["object"]["spec"].dump());
    }
    CHECK(seen == std::vector<std::string> { "ADDED 1", "MODIFIED 2" });
}

// Guards against watches that silently miss what is no longer in the history.
TEST_CASE_METHOD(PlatformFixture, "Platform answers 410 to a watch from a version that is too old")
{
    const std::string old = versionOf(call("POST", path("statuses"), object("a", "", 1)));
    REQUIRE(call("POST", path("statuses"), object("b", "", 1)).status == 201);
    REQUIRE(call("POST", "/control", { { "compact", true } }).status == 200);

    CHECK(call("GET", path("statuses?watch=true&timeoutSeconds=0&resourceVersion=" + old)).status == 410);
    const std::string listed = versionOf(call("GET", path("statuses")));
    CHECK(call("GET", path("statuses?watch=true&timeoutSeconds=0&resourceVersion=" + listed)).status == 200);
}

// Guards against a lost answer that also loses the write, which would hide faults of the publisher.
TEST_CASE_METHOD(PlatformFixture, "Platform applies a write whose answer is lost")
{
    REQUIRE(call("POST", "/control", { { "loseNextAnswers", 1 } }).status == 200);
    CHECK(call("POST", path("leases"), object("lima-a", "", 7)).status == 0);
    CHECK(json::parse(call("GET", path("leases/lima-a")).body)["spec"] == 7);
    CHECK(call("POST", path("leases"), object("lima-b", "", 8)).status == 201);
}

TEST_CASE_METHOD(PlatformFixture, "Platform applies and answers nothing while it is down")
{
    REQUIRE(call("POST", "/control", { { "down", true } }).status == 200);
    CHECK(call("POST", path("leases"), object("lima-a", "", 7)).status == 0);
    REQUIRE(call("POST", "/control", { { "down", false } }).status == 200);
    CHECK(call("GET", path("leases/lima-a")).status == 404);
}

// Guards against tests of a lagging VM list that would pass because the list does not lag.
TEST_CASE("ObjectTable shows changes of the VM list late and in order")
{
    using std::chrono::seconds;
    ObjectTable table(100);
    const ObjectTable::Time start {};
    const json vm = { { "metadata", { { "name", "a" } } }, { "spec", "live" } };
    REQUIRE(table.create("virtualmachines", vm, start).status == 201);
    table.setVmListLag(seconds(5));
    json leaving = { { "metadata", { { "name", "a" }, { "resourceVersion", "1" } } }, { "spec", "leaving" } };
    REQUIRE(table.update("virtualmachines", "a", leaving, start + seconds(1)).status == 200);

    const auto shown = [&](int second) {
        return table.list("virtualmachines", start + seconds(second)).body["items"][0]["spec"].get<std::string>();
    };
    CHECK(shown(5) == "live");
    CHECK(table.eventsAfter("virtualmachines", 1, start + seconds(5)).empty());
    CHECK(shown(6) == "leaving");
    CHECK(table.eventsAfter("virtualmachines", 1, start + seconds(6)).size() == 1);
}
