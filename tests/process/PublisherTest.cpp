#include <anvilwalk/process.h>
#include <fakes/FakeObjectStore.h>
#include <fakes/TestSeed.h>
#include <fakes/TurnScheduler.h>

#include <catch2/catch.hpp>
#include <thread>

using namespace anvilwalk;
using namespace std::chrono_literals;
using anvilwalk::fakes::FakeObjectStore;
using anvilwalk::fakes::StoreCall;

namespace {

ServiceConfig makeService(const std::string& name, const std::string& address, std::uint32_t limit = 0)
{
    ServiceConfig config;
    config.name = ServiceName(name);
    config.addresses = { *ServiceAddress::parse(address) };
    config.limits.newFlowsPerSecond = limit;
    return config;
}

ServiceConfig dispatch(std::uint32_t limit = 0)
{
    return makeService("cordeles/dispatch", "203.0.113.10:443/tcp", limit);
}

ServiceConfig photos(std::uint32_t limit = 0)
{
    return makeService("cordeles/photo-intake", "203.0.113.11:443/tcp", limit);
}

const PublisherOptions quick { .deadline = 3s, .retry = { .firstDelay = 1ms, .maxDelay = 2ms } };
const PublisherOptions impatient { .deadline = 100ms, .retry = { .firstDelay = 1ms, .maxDelay = 5ms } };

PublishReport publish(FakeObjectStore& store, const std::string& id, const std::vector<ServiceConfig>& services,
    const PublisherOptions& options = quick)
{
    const SystemClock clock;
    return Publisher(store, clock, options)
        .publish({ .id = PublishId(id), .operatorName = "op-" + id, .publishedAtUnixMs = 1, .services = services });
}

ConfigIndex indexIn(FakeObjectStore& store)
{
    return valueOf(decodeIndex(valueOf(store.get(objectkind::configIndex, "index")).spec));
}

// Runs the action once, before the first call that matches.
void onFirst(FakeObjectStore& store, StoreCall call, const std::string& kind, const std::function<void()>& action)
{
    auto done = std::make_shared<bool>(false);
    store.setHook([=](StoreCall actual, const std::string& actualKind, const std::string&) {
        if (*done || actual != call || actualKind != kind)
            return;
        *done = true;
        action();
    });
}

} // namespace

TEST_CASE("A publish puts its services in force and leaves the others as they are")
{
    FakeObjectStore store;
    CHECK(publish(store, "a", { dispatch() }).outcome == PublishOutcome::Applied);
    CHECK(publish(store, "b", { photos() }).version == ConfigVersion(2));
    CHECK(publish(store, "c", { dispatch() }).outcome == PublishOutcome::Unchanged);
    const PublishReport changed = publish(store, "d", { dispatch(7), photos() });
    CHECK(changed.version == ConfigVersion(3));
    REQUIRE(changed.plan.differences.size() == 1);
    CHECK(changed.plan.differences[0].changes[0].find("\"newFlowsPerSecond\":7") != std::string::npos);

    const ConfigIndex index = indexIn(store);
    CHECK(index.find(ServiceName("cordeles/dispatch"))->id == ServiceId(1));
    CHECK(index.find(ServiceName("cordeles/dispatch"))->publishId == PublishId("d"));
    CHECK(index.find(ServiceName("cordeles/photo-intake"))->publishId == PublishId("b"));
    CHECK(valueOf(decodeIndex(encodeIndex(index))) == index);
}

TEST_CASE("A dry run writes nothing and a faulty plan is refused")
{
    FakeObjectStore store;
    PublisherOptions dryRun = quick;
    dryRun.dryRun = true;
    CHECK(publish(store, "a", { dispatch() }, dryRun).outcome == PublishOutcome::Planned);
    CHECK(store.calls(StoreCall::Create) == 0);

    publish(store, "b", { dispatch() });
    const auto overlapping = publish(store, "c", { makeService("cordeles/other", "203.0.113.10:443/tcp") });
    CHECK(overlapping.outcome == PublishOutcome::Rejected);
    CHECK_THAT(overlapping.message, Catch::Contains("203.0.113.10:443/tcp belongs to cordeles/dispatch"));

    store.create(objectkind::virtualMachine, "h1",
        { { "role", "target" }, { "dataCentre", "lima-a" }, { "state", "live" }, { "host", "host-1" },
            { "service", "cordeles/dispatch" }, { "tunnelAddress", "127.0.0.1:5000" }, { "healthUrl", "" } });
    ServiceConfig closed = dispatch();
    closed.dataCentreWeights[DataCentreId("lima-a")] = 0;
    const auto lastTarget = publish(store, "d", { closed });
    CHECK(lastTarget.outcome == PublishOutcome::Rejected);
    CHECK_THAT(lastTarget.message, Catch::Contains("would lose its last target"));
    CHECK(indexIn(store).version == ConfigVersion(1));
}

// Guards against a publish that is in force while its operator is told that it is not.
TEST_CASE("A lost answer is settled by reading back")
{
    FakeObjectStore store;
    publish(store, "a", { dispatch(1) });
    SECTION("applied")
    {
        store.loseNextAnswers(objectkind::configIndex, 1);
        CHECK(publish(store, "b", { dispatch(2) }).outcome == PublishOutcome::Applied);
        CHECK(indexIn(store).version == ConfigVersion(2));
    }
    SECTION("applied, and the read back is stale at first")
    {
        store.loseNextAnswers(objectkind::configIndex, 1);
        int reads = 0;
        store.setHook([&](StoreCall call, const std::string& kind, const std::string&) {
            if (call == StoreCall::Get && kind == objectkind::configIndex)
                store.setStaleReads(++reads > 1 && reads < 4 ? 1 : 0);
        });
        CHECK(publish(store, "b", { dispatch(2) }).outcome == PublishOutcome::Applied);
        CHECK(indexIn(store).version == ConfigVersion(2));
    }
    SECTION("not applied, then repeated under the same condition")
    {
        store.loseNextRequests(objectkind::configIndex, 2);
        CHECK(publish(store, "b", { dispatch(2) }).outcome == PublishOutcome::Applied);
        CHECK(indexIn(store).version == ConfigVersion(2));
    }
    SECTION("overtaken")
    {
        store.loseNextAnswers(objectkind::configIndex, 1);
        int reads = 0;
        store.setHook([&](StoreCall call, const std::string& kind, const std::string&) {
            if (call == StoreCall::Get && kind == objectkind::configIndex && ++reads == 2)
                CHECK(publish(store, "c", { dispatch(3) }).outcome == PublishOutcome::Applied);
        });
        const PublishReport report = publish(store, "b", { dispatch(2) });
        CHECK(report.outcome == PublishOutcome::Overtaken);
        CHECK_THAT(report.message, Catch::Contains("publish c by op-c"));
    }
    SECTION("unknown after more publishes than the index remembers")
    {
        store.loseNextAnswers(objectkind::configIndex, 1);
        int reads = 0;
        store.setHook([&](StoreCall call, const std::string& kind, const std::string&) {
            if (call != StoreCall::Get || kind != objectkind::configIndex || ++reads != 2)
                return;
            for (std::uint32_t later = 0; later <= publishHistoryLimit; ++later)
                publish(store, "l" + std::to_string(later), { photos(later + 1) });
        });
        const PublishReport report = publish(store, "b", { dispatch(2) });
        CHECK(report.outcome == PublishOutcome::Unknown);
        CHECK_FALSE(report.mayStillTakeEffect);
    }
    SECTION("the failure without reading back")
    {
        store.loseNextAnswers(objectkind::configIndex, 1);
        PublisherOptions without = quick;
        without.testSwitches.skipReadBack = true;
        CHECK(publish(store, "b", { dispatch(2) }, without).outcome == PublishOutcome::NotApplied);
        CHECK(indexIn(store).findPublish(PublishId("b")) != nullptr);
    }
}

TEST_CASE("Two operators with changes to the same service: one wins and the other is told")
{
    FakeObjectStore store;
    publish(store, "a", { dispatch(1), photos(1) });
    PublishReport inner;
    SECTION("the same service")
    {
        onFirst(store, StoreCall::Update, objectkind::configIndex, [&] {
            inner = publish(store, "b", { dispatch(2), photos(1) });
        });
        const PublishReport outer = publish(store, "c", { dispatch(3), photos(3) });
        CHECK(inner.outcome == PublishOutcome::Applied);
        CHECK(outer.outcome == PublishOutcome::Conflict);
        REQUIRE(outer.plan.clashes.size() == 1);
        CHECK(outer.plan.clashes[0].service == ServiceName("cordeles/dispatch"));
        CHECK_THAT(outer.message, Catch::Contains("cordeles/dispatch") && Catch::Contains("publish b by op-b"));
        CHECK(indexIn(store).version == ConfigVersion(2));
        CHECK_FALSE(isOk(store.get(objectkind::serviceRevision, "cordeles.dispatch.c")));
    }
    SECTION("the same address")
    {
        onFirst(store, StoreCall::Update, objectkind::configIndex,
            [&] { inner = publish(store, "b", { makeService("lakeshore/routes", "198.51.100.1:1/tcp") }); });
        const PublishReport outer = publish(store, "c", { makeService("lakeshore/scans", "198.51.100.1:1/tcp") });
        CHECK(outer.outcome == PublishOutcome::Conflict);
        CHECK_THAT(outer.message, Catch::Contains("belongs to lakeshore/routes"));
    }
    SECTION("disjoint changes are planned again, and neither undoes the other")
    {
        onFirst(store, StoreCall::Update, objectkind::configIndex, [&] {
            inner = publish(store, "b", { dispatch(2), photos(1) });
        });
        const PublishReport outer = publish(store, "c", { dispatch(1), photos(3) });
        CHECK(outer.outcome == PublishOutcome::Applied);
        const ConfigIndex index = indexIn(store);
        CHECK(index.version == ConfigVersion(3));
        CHECK(index.find(ServiceName("cordeles/dispatch"))->publishId == PublishId("b"));
        CHECK(index.find(ServiceName("cordeles/photo-intake"))->publishId == PublishId("c"));
    }
    SECTION("the failure without the check: the second change wins silently")
    {
        onFirst(
            store, StoreCall::Update, objectkind::configIndex, [&] { inner = publish(store, "b", { dispatch(2) }); });
        PublisherOptions without = quick;
        without.testSwitches.ignoreClashes = true;
        CHECK(publish(store, "c", { dispatch(3) }, without).outcome == PublishOutcome::Applied);
    }
}

TEST_CASE("A publish gives up at its deadline and says whether it may still take effect")
{
    FakeObjectStore store;
    publish(store, "a", { dispatch(1) });
    const auto start = std::chrono::steady_clock::now();
    SECTION("the store is down from the start")
    {
        store.setDown(true);
        const PublishReport report = publish(store, "b", { dispatch(2) }, impatient);
        CHECK(report.outcome == PublishOutcome::NotApplied);
        CHECK_THAT(report.message, Catch::Contains("cannot take effect later"));
    }
    SECTION("the store goes down before the commit")
    {
        onFirst(store, StoreCall::Update, objectkind::configIndex, [&] { store.setDown(true); });
        CHECK(publish(store, "b", { dispatch(2) }, impatient).outcome == PublishOutcome::NotApplied);
        store.setDown(false);
        CHECK(indexIn(store).findPublish(PublishId("b")) == nullptr);
    }
    SECTION("the store goes down after a commit without an answer")
    {
        store.loseNextAnswers(objectkind::configIndex, 1);
        int reads = 0;
        store.setHook([&](StoreCall call, const std::string& kind, const std::string&) {
            if (call == StoreCall::Get && kind == objectkind::configIndex && ++reads == 2)
                store.setDown(true);
        });
        const PublishReport report = publish(store, "b", { dispatch(2) }, impatient);
        CHECK(report.outcome == PublishOutcome::Unknown);
        CHECK(report.mayStillTakeEffect);
    }
    SECTION("the store is slow")
    {
        store.setDelay(60ms);
        const PublishReport report = publish(store, "b", { dispatch(2) }, impatient);
        const bool inForce = indexIn(store).findPublish(PublishId("b")) != nullptr;
        CHECK(inForce == (report.outcome == PublishOutcome::Applied));
    }
    CHECK(std::chrono::steady_clock::now() - start < 2s);
}

namespace {

// What a run of two operators at once ended with.
struct RaceResult {
    std::string lie;
    bool conflict = false;
};

// The first disagreement between what an operator was told and what is in force, or an empty text.
std::string findLie(FakeObjectStore& store, const PublishReport (&reports)[2], bool disjoint)
{
    const ConfigIndex index = indexIn(store);
    for (int which = 0; which < 2; ++which) {
        const PublishOutcome outcome = reports[which].outcome;
        const bool recorded = index.findPublish(PublishId(which == 0 ? "b" : "c")) != nullptr;
        const bool claimed = outcome == PublishOutcome::Applied || outcome == PublishOutcome::Overtaken;
        if (!claimed && outcome != PublishOutcome::Conflict)
            return "neither applied nor conflict";
        if (recorded != claimed)
            return "told otherwise than the history says";
    }
    if (index.version.value() != index.publishes.size())
        return "a publish was applied twice";
    if (reports[0].outcome == PublishOutcome::Conflict && reports[1].outcome == PublishOutcome::Conflict)
        return "nobody won";
    if (disjoint && index.version != ConfigVersion(3))
        return "disjoint changes did not both win";
    for (const IndexEntry& entry : index.services) {
        if (!isOk(store.get(objectkind::serviceRevision, revisionObjectName(entry.name, entry.publishId))))
            return "a revision in force is gone";
    }
    return {};
}

// Runs two operators whose calls interleave as the seed says, with lost requests and answers.
RaceResult race(std::uint64_t seed, const PublisherOptions& options)
{
    pcg32 random(seed);
    FakeObjectStore store;
    publish(store, "a", { dispatch(1), photos(1) });
    const bool disjoint = random(3) == 0;
    store.loseNextAnswers(objectkind::configIndex, static_cast<int>(random(3)));
    store.loseNextRequests(objectkind::configIndex, static_cast<int>(random(2)));
    fakes::TurnScheduler scheduler(seed);
    static thread_local int self = -1;
    store.setHook([&](StoreCall, const std::string&, const std::string&) {
        if (self >= 0)
            scheduler.waitForTurn(self);
    });
    PublishReport reports[2];
    const auto run = [&](int index, const std::string& id, const std::vector<ServiceConfig>& services) {
        self = index;
        reports[index] = publish(store, id, services, options);
        scheduler.finish(index);
    };
    std::thread first([&] { run(0, "b", { dispatch(2) }); });
    std::thread second([&] { run(1, "c", { disjoint ? photos(3) : dispatch(3) }); });
    first.join();
    second.join();
    store.setHook({});
    return { .lie = findLie(store, reports, disjoint), .conflict = indexIn(store).version == ConfigVersion(2) };
}

} // namespace

// Guards against every disagreement between what two operators are told and what is in force, over interleavings
// of their calls and lost writes.
TEST_CASE("Two operators at once are told the truth in every interleaving")
{
    PublisherOptions patient = quick;
    patient.deadline = 60s;
    PublisherOptions withoutReadBack = patient;
    withoutReadBack.testSwitches.skipReadBack = true;
    // A lie removes a revision in force, for which the other operator then waits until its deadline.
    withoutReadBack.deadline = 50ms;
    int conflicts = 0;
    int liesWithoutReadBack = 0;
    for (const std::uint64_t seed : fakes::testSeeds(400)) {
        INFO("ANVILWALK_SEED=" << seed);
        const RaceResult result = race(seed, patient);
        REQUIRE(result.lie.empty());
        conflicts += result.conflict ? 1 : 0;
        if (seed % 8 == 0)
            liesWithoutReadBack += race(seed, withoutReadBack).lie.empty() ? 0 : 1;
    }
    if (std::getenv("ANVILWALK_SEED") == nullptr) {
        CHECK(conflicts > 20);
        CHECK(liesWithoutReadBack > 5);
    }
}
