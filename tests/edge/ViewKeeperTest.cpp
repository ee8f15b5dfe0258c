#include <anvilwalk-edge/ViewKeeper.h>
#include <fakes/PlacementHarness.h>
#include <fakes/RecordedLines.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

constexpr Ipv4Endpoint peer { .address = { 0x0a000002 }, .port = 8166 };

StoreEntry targetEntry(std::uint64_t number, std::uint64_t version)
{
    const TargetRecord record = targetRecord(number);
    return { .name = record.name, .version = StoreVersion(version), .content = record, .problem = {} };
}

StoreEntry routesEntry(std::uint64_t version)
{
    return { .name = "main", .version = StoreVersion(version), .content = routeTable(version), .problem = {} };
}

struct Fixture {
    PlacementHarness scene;
    RecordedLines lines;
    EventLog log { EventLogOptions {}, lines, scene.clock };
    FlowTracker flows { FlowTrackerOptions {}, scene.targets };
    TokenRouter router { TokenRouterOptions {}, scene.targets, flows, scene.chooser };
    ViewKeeper view { scene.targets, router, log, scene.clock };

    void answerTargets(std::uint64_t version, const std::vector<StoreEntry>& entries)
    {
        view.targetObserver().onAnswer(StoreVersion(version), ReadFreshness::Current);
        view.targetObserver().onContact();
        view.targetObserver().onSnapshot(entries, StoreVersion(version));
    }
    void answerRoutes(std::uint64_t version)
    {
        view.routeObserver().onAnswer(StoreVersion(version), ReadFreshness::Current);
        view.routeObserver().onContact();
        view.routeObserver().onSnapshot({ routesEntry(version) }, StoreVersion(version));
    }
};

ViewSnapshot peerView(
    std::uint64_t targetsVersion, std::uint64_t configVersion, const std::vector<std::uint64_t>& numbers)
{
    ViewSnapshot view { .routes = routeTable(configVersion),
        .targets = {},
        .targetsVersion = StoreVersion(targetsVersion),
        .targetsAge = 700ms };
    for (const std::uint64_t number : numbers)
        view.targets.push_back({ .record = targetRecord(number), .version = StoreVersion(number) });
    return view;
}

} // namespace

// Guards against a balancer that starts while the store is away and serves nothing, though its peers know everything.
TEST_CASE("A view taken from a peer is complete and can be told on with its age")
{
    Fixture fixture;
    CHECK_FALSE(fixture.view.isComplete());
    CHECK(fixture.view.wantsPeerView());
    fixture.view.onPeerView(peerView(20, 3, { 1, 2 }), peer);
    REQUIRE(fixture.view.isComplete());
    fixture.scene.clock.advance(100ms);
    const ViewSnapshot told = fixture.view.snapshot();
    CHECK(told.targets.size() == 2);
    CHECK(told.targetsVersion == StoreVersion(20));
    CHECK(told.targetsAge == 800ms);
    CHECK(told.routes->version() == ConfigVersion(3));
}

// Guards against a start whose first packets are dropped, or wait on, although routes and targets are known.
TEST_CASE("A view tells once that it has become complete, whichever part comes last")
{
    Fixture fromStore;
    int told = 0;
    fromStore.view.onComplete([&] { ++told; });
    fromStore.answerTargets(30, { targetEntry(1, 25) });
    CHECK(told == 0);
    fromStore.answerRoutes(8);
    CHECK(told == 1);
    fromStore.answerRoutes(9);
    CHECK(told == 1);

    Fixture routesFirst;
    routesFirst.view.onComplete([&] { ++told; });
    routesFirst.answerRoutes(8);
    routesFirst.answerTargets(30, { targetEntry(1, 25) });
    CHECK(told == 2);

    Fixture fromPeer;
    fromPeer.view.onComplete([&] { ++told; });
    fromPeer.view.onPeerView(peerView(20, 3, { 1 }), peer);
    CHECK(told == 3);
}

// Guards against a flow of a target that this balancer's peer did not know yet being ended by a reset.
TEST_CASE("A view taken from a peer does not make an unknown token mean an ended target")
{
    Fixture fixture;
    fixture.view.onPeerView(peerView(20, 3, { 1 }), peer);
    const PacketFields fields { .key = flowKey(1), .token = FlowToken(77), .payloadBytes = 10 };
    for (int step = 0; step < 6; ++step) {
        CHECK(std::holds_alternative<DropPacket>(
            fixture.router.route(PacketView({}, fields), fixture.scene.clock.now())));
        fixture.scene.clock.advance(1s);
    }
}

// Guards against a living target that is given up by an answer that is seconds behind.
TEST_CASE("Only a current answer of the store decides about a missing target")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25), targetEntry(2, 29) });
    fixture.answerRoutes(8);
    CHECK_FALSE(fixture.view.targetObserver().expectsChanges());
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    fixture.answerTargets(31, { targetEntry(1, 25) });
    CHECK(fixture.view.targetObserver().expectsChanges());
    fixture.scene.clock.advance(5s);
    fixture.view.targetObserver().onAnswer(StoreVersion(32), ReadFreshness::MayBeStale);
    fixture.scene.targets.expire(fixture.scene.clock.now());
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Missing);
    fixture.view.targetObserver().onAnswer(StoreVersion(33), ReadFreshness::Current);
    fixture.scene.targets.expire(fixture.scene.clock.now());
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Gone);
    CHECK_FALSE(fixture.view.targetObserver().expectsChanges());
}

// Guards against routes or targets that fall back to what an older peer says.
TEST_CASE("An older view of a peer changes nothing")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25), targetEntry(2, 29) });
    fixture.answerRoutes(8);
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    REQUIRE(fixture.view.wantsPeerView());
    fixture.view.onPeerView(peerView(20, 3, { 1 }), peer);
    CHECK(fixture.view.snapshot().targets.size() == 2);
    CHECK(fixture.view.snapshot().targetsVersion == StoreVersion(30));
    CHECK(fixture.router.routes()->version() == ConfigVersion(8));
}

TEST_CASE("A newer view of a peer removes targets that have ended and adds new ones")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25), targetEntry(2, 29) });
    fixture.answerRoutes(8);
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "turned away" });
    fixture.view.onPeerView(peerView(40, 9, { 1, 35 }), peer);
    // The entry may have lapsed while the store was away; the target is kept for its flows for a while.
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Missing);
    CHECK(fixture.scene.targets.find(tokenOfTarget(35)) != nullptr);
    CHECK(fixture.router.routes()->version() == ConfigVersion(9));
}

TEST_CASE("Peers are not wanted while the store answers about targets and routes")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25) });
    CHECK(fixture.view.wantsPeerView());
    fixture.answerRoutes(8);
    CHECK_FALSE(fixture.view.wantsPeerView());
    fixture.view.routeObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    CHECK(fixture.view.wantsPeerView());
}
