#include <anvilwalk/process/objectapi/HttpObjectStore.h>
#include <catch2/catch.hpp>
#include <common/HttpClient.h>
#include <platform/PlatformServer.h>

#include <anvilwalk/process.h>
#include <condition_variable>
#include <thread>

using namespace anvilwalk;
using namespace anvilwalk::standins;
using namespace std::chrono_literals;

namespace {

// The platform stand-in with a thread of its own.
class RunningPlatform {
public:
    RunningPlatform()
        : m_server(m_context, { { 0x7f000001 }, 0 }, 1000)
        , m_work(boost::asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~RunningPlatform()
    {
        m_context.stop();
        m_thread.join();
    }

    Ipv4Endpoint endpoint() const { return { { 0x7f000001 }, m_server.port() }; }

    void control(const std::string& body)
    {
        boost::asio::io_context context;
        httpRequest(context, "POST", { endpoint(), "/control" }, body, 10s, [](const HttpResult&) {});
        context.run();
    }

private:
    boost::asio::io_context m_context;
    PlatformServer m_server;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

PublishReport publish(ObjectStore& store, const std::string& id, std::uint32_t limit)
{
    ServiceConfig service;
    service.name = ServiceName("cordeles/dispatch");
    service.addresses = { *ServiceAddress::parse("203.0.113.10:443/tcp") };
    service.limits.openFlows = limit;
    const SystemClock clock;
    return Publisher(store, clock, { .deadline = 10s, .retry = { .firstDelay = 1ms, .maxDelay = 20ms } })
        .publish({ .id = PublishId(id), .operatorName = "rosa", .publishedAtUnixMs = 1, .services = { service } });
}

} // namespace

// Guards against a client and a stand-in that are each consistent and do not understand each other.
TEST_CASE("The object API client speaks the protocol of the platform stand-in")
{
    RunningPlatform platform;
    HttpObjectStore store({ .endpoint = platform.endpoint() });
    CHECK(errorOf(store.get("leases", "a")).code == ErrorCode::NotFound);
    const auto created = store.create("leases", "a", { { "n", 1 } });
    REQUIRE(isOk(created));
    CHECK(errorOf(store.create("leases", "a", { { "n", 1 } })).code == ErrorCode::Conflict);
    const auto updated = store.update("leases", "a", { { "n", 2 } }, valueOf(created).version);
    REQUIRE(isOk(updated));
    CHECK(valueOf(updated).version > valueOf(created).version);
    CHECK(errorOf(store.update("leases", "a", { { "n", 3 } }, valueOf(created).version)).code == ErrorCode::Conflict);

    std::vector<StoreVersion> seen;
    const auto note = [&](const WatchEvent& event) {
        seen.push_back(event.object.version);
        return true;
    };
    CHECK(isOk(store.watch("leases", valueOf(created).version, 1s, note)));
    CHECK(seen == std::vector<StoreVersion> { valueOf(updated).version });
    CHECK(valueOf(store.list("leases")).items.size() == 1);
    CHECK(errorOf(store.remove("leases", "a", valueOf(created).version)).code == ErrorCode::Conflict);
    CHECK(isOk(store.remove("leases", "a", valueOf(updated).version)));
    platform.control(R"({"compact":true})");
    CHECK(errorOf(store.watch("leases", valueOf(created).version, 1s, note)).code == ErrorCode::Gone);
}

TEST_CASE("Publishes reach a follower through the platform stand-in across lost answers and an outage")
{
    RunningPlatform platform;
    const auto store = std::make_shared<HttpObjectStore>(HttpObjectStoreOptions { .endpoint = platform.endpoint() });
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::uint64_t> versions;
    bool reachable = false;
    StoreWatcher watcher(store,
        { .dataCentre = DataCentreId("lima-a"), .watchTimeout = 2s, .retry = { .firstDelay = 5ms, .maxDelay = 50ms } },
        { .onConfig =
                [&](const ConfigSnapshotPointer& config) {
                    const std::lock_guard lock(mutex);
                    versions.push_back(config->version().value());
                    changed.notify_all();
                },
            .onTable = {},
            .onVmList = {},
            .onLease = {},
            .onReachable =
                [&](bool value) {
                    const std::lock_guard lock(mutex);
                    reachable = value;
                    changed.notify_all();
                },
            .onProblem = {} });
    watcher.setWatching(true);
    const auto await = [&](const auto& condition) {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, 30s, condition);
    };

    platform.control(R"({"loseNextAnswers":3})");
    CHECK(publish(*store, "a", 1).outcome == PublishOutcome::Applied);
    CHECK(await([&] { return !versions.empty() && versions.back() == 1; }));
    platform.control(R"({"down":true})");
    CHECK(await([&] { return !reachable; }));
    platform.control(R"({"down":false})");
    CHECK(await([&] { return reachable; }));
    CHECK(publish(*store, "b", 2).outcome == PublishOutcome::Applied);
    CHECK(await([&] { return versions.back() == 2; }));
    const std::lock_guard lock(mutex);
    CHECK(versions == std::vector<std::uint64_t> { 1, 2 });
}
