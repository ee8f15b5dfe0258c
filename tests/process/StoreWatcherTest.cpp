#include <anvilwalk/process.h>
#include <fakes/FakeClock.h>
#include <fakes/FakeObjectStore.h>

#include <catch2/catch.hpp>
#include <condition_variable>

using namespace anvilwalk;
using namespace std::chrono_literals;
using anvilwalk::fakes::FakeObjectStore;
using anvilwalk::fakes::StoreCall;

namespace {

table::TableSet makeTable(std::uint64_t version)
{
    table::TableSet table;
    table.set_version(version);
    table.set_data_centre("lima-a");
    return table;
}

// Collects the callbacks of a watcher and lets a test wait for a condition on them.
struct Received {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::uint64_t> configs;
    std::vector<std::uint64_t> tables;
    std::vector<std::vector<VmEntry>> vmLists;
    std::vector<std::uint64_t> renewals;
    std::vector<bool> reachable;

    template <class Change> void note(const Change& change)
    {
        const std::lock_guard lock(mutex);
        change();
        changed.notify_all();
    }

    StoreWatcherCallbacks callbacks()
    {
        return { .onConfig
            = [this](const auto& config) { note([&] { configs.push_back(config->version().value()); }); },
            .onTable = [this](const auto& table, StoreVersion) { note([&] { tables.push_back(table.version()); }); },
            .onVmList = [this](const auto& list) { note([&] { vmLists.push_back(list); }); },
            .onLease = [this](const auto& lease) { note([&] { renewals.push_back(lease.renewals); }); },
            .onReachable = [this](bool value) { note([&] { reachable.push_back(value); }); },
            .onProblem = {} };
    }

    template <class Condition> bool await(const Condition& condition)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, 10s, condition);
    }
};

ConfigIndex makeIndex(std::uint64_t version)
{
    ConfigIndex index {
        .version = ConfigVersion(version), .lastServiceId = ServiceId(1), .services = {}, .publishes = {}
    };
    index.services.push_back(
        { .id = ServiceId(1), .name = ServiceName("cordeles/dispatch"), .publishId = PublishId("p1") });
    return index;
}

void writeFirstObjects(FakeObjectStore& store)
{
    ServiceRevision revision { .publishId = PublishId("p1"), .config = {} };
    revision.config.name = ServiceName("cordeles/dispatch");
    revision.config.addresses = { *ServiceAddress::parse("203.0.113.10:443/tcp") };
    store.create(objectkind::serviceRevision, "cordeles.dispatch.p1", encodeRevision(revision));
    store.create(objectkind::configIndex, "index", encodeIndex(makeIndex(1)));
    store.create(objectkind::slotTable, "lima-a", encodeTable(makeTable(3)));
    store.create(objectkind::slotTable, "lima-b", encodeTable(makeTable(90)));
    store.create(
        objectkind::lease, "lima-a", encodeLease({ .holder = BalancerId("vm-1"), .renewals = 5, .version = {} }));
    store.create(objectkind::virtualMachine, "h1",
        { { "role", "target" }, { "dataCentre", "lima-a" }, { "state", "live" }, { "host", "host-1" },
            { "service", "cordeles/dispatch" }, { "tunnelAddress", "127.0.0.1:5000" }, { "healthUrl", "" } });
    store.create(objectkind::virtualMachine, "h2", { { "role", "target" }, { "dataCentre", "lima-b" } });
}

const StoreWatcherOptions options { .dataCentre = DataCentreId("lima-a"),
    .watchTimeout = 2s,
    .retry = { .firstDelay = 1ms, .maxDelay = 20ms },
    .retryBudget = 1000,
    .retryRefill = 1ms };

StoreVersion versionOf(FakeObjectStore& store, const char* kind, const char* name)
{
    return valueOf(store.get(kind, name)).version;
}

} // namespace

TEST_CASE("StoreWatcher reports the state of its data centre and its changes")
{
    auto store = std::make_shared<FakeObjectStore>();
    writeFirstObjects(*store);
    Received received;
    StoreWatcher watcher(store, options, received.callbacks());
    CHECK(store->calls(StoreCall::List) == 0);
    watcher.setWatching(true);
    REQUIRE(received.await([&] {
        return !received.configs.empty() && !received.tables.empty() && !received.vmLists.empty()
            && !received.renewals.empty() && !received.reachable.empty();
    }));
    CHECK(received.tables == std::vector<std::uint64_t> { 3 });
    CHECK(received.renewals == std::vector<std::uint64_t> { 5 });
    REQUIRE(received.vmLists[0].size() == 1);
    CHECK(received.vmLists[0][0].name == "host-1");

    store->update(
        objectkind::slotTable, "lima-a", encodeTable(makeTable(4)), versionOf(*store, objectkind::slotTable, "lima-a"));
    store->update(objectkind::configIndex, "index", encodeIndex(makeIndex(2)),
        versionOf(*store, objectkind::configIndex, "index"));
    CHECK(received.await([&] { return received.tables.back() == 4 && received.configs.back() == 2; }));
}

TEST_CASE("StoreWatcher never reports a lower version")
{
    auto store = std::make_shared<FakeObjectStore>();
    writeFirstObjects(*store);
    store->update(objectkind::configIndex, "index", encodeIndex(makeIndex(2)),
        versionOf(*store, objectkind::configIndex, "index"));
    store->update(
        objectkind::slotTable, "lima-a", encodeTable(makeTable(4)), versionOf(*store, objectkind::slotTable, "lima-a"));
    Received received;
    StoreWatcher watcher(store, options, received.callbacks());
    watcher.setWatching(true);
    REQUIRE(received.await([&] { return !received.configs.empty() && !received.tables.empty(); }));

    SECTION("when reads are stale after the store comes back")
    {
        store->setDown(true);
        REQUIRE(received.await([&] { return !received.reachable.empty() && !received.reachable.back(); }));
        store->setStaleReads(2);
        store->setDown(false);
        REQUIRE(received.await([&] { return received.reachable.back(); }));
    }
    SECTION("when an object with a lower version is written")
    {
        store->update(objectkind::slotTable, "lima-a", encodeTable(makeTable(2)),
            versionOf(*store, objectkind::slotTable, "lima-a"));
        store->update(objectkind::configIndex, "index", encodeIndex(makeIndex(1)),
            versionOf(*store, objectkind::configIndex, "index"));
    }
    store->setStaleReads(0);
    store->update(
        objectkind::slotTable, "lima-a", encodeTable(makeTable(6)), versionOf(*store, objectkind::slotTable, "lima-a"));
    store->update(objectkind::configIndex, "index", encodeIndex(makeIndex(7)),
        versionOf(*store, objectkind::configIndex, "index"));
    REQUIRE(received.await([&] { return received.tables.back() == 6 && received.configs.back() == 7; }));
    const std::lock_guard lock(received.mutex);
    CHECK(received.tables == std::vector<std::uint64_t> { 4, 6 });
    CHECK(received.configs == std::vector<std::uint64_t> { 2, 7 });
}

TEST_CASE("StoreWatcher lists again when its version is gone and resumes after an outage")
{
    auto store = std::make_shared<FakeObjectStore>();
    writeFirstObjects(*store);
    Received received;
    StoreWatcher watcher(store, options, received.callbacks());
    watcher.setWatching(true);
    REQUIRE(received.await([&] { return !received.tables.empty() && !received.reachable.empty(); }));
    store->setDown(true);
    REQUIRE(received.await([&] { return !received.reachable.back(); }));
    store->setHook([&](StoreCall call, const std::string&, const std::string&) {
        // The version from which each watch starts has been dropped.
        if (call == StoreCall::Watch)
            store->compact();
    });
    store->setDown(false);
    REQUIRE(received.await([&] { return received.reachable.back(); }));
    store->update(
        objectkind::slotTable, "lima-a", encodeTable(makeTable(9)), versionOf(*store, objectkind::slotTable, "lima-a"));
    CHECK(received.await([&] { return received.tables.back() == 9; }));
}

TEST_CASE("StoreWatcher makes no calls while it does not watch")
{
    auto store = std::make_shared<FakeObjectStore>();
    writeFirstObjects(*store);
    Received received;
    StoreWatcher watcher(store, options, received.callbacks());
    watcher.setWatching(true);
    REQUIRE(received.await([&] { return !received.tables.empty(); }));
    watcher.setWatching(false);
    watcher.setWatching(true);
    watcher.setWatching(false);
    store->update(
        objectkind::slotTable, "lima-a", encodeTable(makeTable(8)), versionOf(*store, objectkind::slotTable, "lima-a"));
    watcher.setWatching(true);
    CHECK(received.await([&] { return received.tables.back() == 8; }));
}

TEST_CASE("RetryPolicy jitters delays up to an exponentially growing limit")
{
    fakes::FakeClock clock;
    RetryPolicy policy({}, nullptr, 1);
    for (const auto limit : { 200ms, 400ms, 800ms, 1600ms, 3200ms, 5000ms, 5000ms }) {
        const Duration delay = policy.delayAfterFailure(clock.now());
        CHECK(delay >= Duration::zero());
        CHECK(delay <= limit);
    }
    policy.recordSuccess();
    CHECK(policy.delayAfterFailure(clock.now()) <= 200ms);
}

TEST_CASE("RetryBudget bounds retries even when failures alternate with successes")
{
    fakes::FakeClock clock;
    RetryPolicy policy({}, std::make_shared<RetryBudget>(10, 500ms), 1);
    const MonotonicTime start = clock.now();
    int retries = 0;
    while (clock.now() - start < 60s) {
        clock.advance(policy.delayAfterFailure(clock.now()));
        policy.recordSuccess();
        ++retries;
    }
    CHECK(retries <= 10 + 120 + 1);
}
