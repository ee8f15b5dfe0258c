#include <anvilwalk-edge/RoutingView.h>
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
    return { .name = record.name, .version = StoreVersion(version), .content = record, .error = {} };
}

StoreEntry routesEntry(std::uint64_t version)
{
    return { .name = "main", .version = StoreVersion(version), .content = routeTable(version), .error = {} };
}

struct Fixture {
    PlacementHarness scene;
    RecordedLines lines;
    EventLog log { EventLogOptions {}, lines, scene.clock };
    FlowTracker flows { FlowTrackerOptions {}, scene.targets };
    TokenRouter router { TokenRouterOptions {}, scene.targets, flows, scene.chooser };
    RoutingView view { scene.targets, router, log, scene.clock };

    void answerTargets(std::uint64_t version, const std::vector<StoreEntry>& entries)
    {
        view.targetObserver().onResponse(StoreVersion(version), ReadFreshness::Current);
        view.targetObserver().onReachable();
        view.targetObserver().onSnapshot(entries, StoreVersion(version));
    }
    void answerRoutes(std::uint64_t version)
    {
        view.routeObserver().onResponse(StoreVersion(version), ReadFreshness::Current);
        view.routeObserver().onReachable();
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

// Guards against a balancer that forwards nothing after a start during a store outage, although its peers have a
// complete view.
TEST_CASE("A view received from a peer is complete and can be passed on with its age")
{
    Fixture fixture;
    CHECK_FALSE(fixture.view.isComplete());
    CHECK(fixture.view.needsPeerView());
    fixture.view.onPeerView(peerView(20, 3, { 1, 2 }), peer);
    REQUIRE(fixture.view.isComplete());
    fixture.scene.clock.advance(100ms);
    const ViewSnapshot snapshot = fixture.view.snapshot();
    CHECK(snapshot.targets.size() == 2);
    CHECK(snapshot.targetsVersion == StoreVersion(20));
    CHECK(snapshot.targetsAge == 800ms);
    CHECK(snapshot.routes->version() == ConfigVersion(3));
}

// Guards against dropping or delaying the first packets after a start although routes and targets are known.
TEST_CASE("A view reports completeness once, whichever part arrives last")
{
    Fixture fromStore;
    int notifications = 0;
    fromStore.view.onComplete([&] { ++notifications; });
    fromStore.answerTargets(30, { targetEntry(1, 25) });
    CHECK(notifications == 0);
    fromStore.answerRoutes(8);
    CHECK(notifications == 1);
    fromStore.answerRoutes(9);
    CHECK(notifications == 1);

    Fixture routesFirst;
    routesFirst.view.onComplete([&] { ++notifications; });
    routesFirst.answerRoutes(8);
    routesFirst.answerTargets(30, { targetEntry(1, 25) });
    CHECK(notifications == 2);

    Fixture fromPeer;
    fromPeer.view.onComplete([&] { ++notifications; });
    fromPeer.view.onPeerView(peerView(20, 3, { 1 }), peer);
    CHECK(notifications == 3);
}

// Guards against resetting a flow whose target was not yet known to the peer that supplied the view.
TEST_CASE("A view received from a peer does not turn an unknown token into an ended target")
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

// Guards against removing a live target because of a store answer that is seconds old.
TEST_CASE("Only a current store answer marks a missing target as gone")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25), targetEntry(2, 29) });
    fixture.answerRoutes(8);
    CHECK_FALSE(fixture.view.targetObserver().expectsChanges());
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    fixture.answerTargets(31, { targetEntry(1, 25) });
    CHECK(fixture.view.targetObserver().expectsChanges());
    fixture.scene.clock.advance(5s);
    fixture.view.targetObserver().onResponse(StoreVersion(32), ReadFreshness::MayBeStale);
    fixture.scene.targets.expire(fixture.scene.clock.now());
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Missing);
    fixture.view.targetObserver().onResponse(StoreVersion(33), ReadFreshness::Current);
    fixture.scene.targets.expire(fixture.scene.clock.now());
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Gone);
    CHECK_FALSE(fixture.view.targetObserver().expectsChanges());
}

// Guards against routes or targets that revert to the older view of a peer.
TEST_CASE("An older view of a peer is ignored")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25), targetEntry(2, 29) });
    fixture.answerRoutes(8);
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    REQUIRE(fixture.view.needsPeerView());
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
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "refused" });
    fixture.view.onPeerView(peerView(40, 9, { 1, 35 }), peer);
    // The entry may have expired during the store outage, so the target is kept for its flows for a while.
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Missing);
    CHECK(fixture.scene.targets.find(tokenOfTarget(35)) != nullptr);
    CHECK(fixture.router.routes()->version() == ConfigVersion(9));
}

TEST_CASE("Peer views are not requested while the store answers for targets and routes")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25) });
    CHECK(fixture.view.needsPeerView());
    fixture.answerRoutes(8);
    CHECK_FALSE(fixture.view.needsPeerView());
    fixture.view.routeObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    CHECK(fixture.view.needsPeerView());
}
