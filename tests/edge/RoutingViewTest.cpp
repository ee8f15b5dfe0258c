#include <anvilwalk-edge/RoutingView.h>
#include <fakes/PlacementHarness.h>
#include <fakes/RecordedLines.h>

#include <algorithm>
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

Member member(std::uint64_t startedMs)
{
    return { .id = BalancerId("front-" + std::to_string(startedMs)),
        .dataCentre = DataCentreId("lima-a"),
        .viewAddress = { .address = { 0x0a000000U + static_cast<std::uint32_t>(startedMs) }, .port = 8166 },
        .startedMs = startedMs };
}

// An answer of the store that is current now.
StoreAnswer currentAnswer(std::uint64_t version, const Clock& clock)
{
    return { .version = StoreVersion(version), .currentAt = clock.now() };
}

StoreAnswer staleAnswer(std::uint64_t version) { return { .version = StoreVersion(version), .currentAt = {} }; }

struct Fixture {
    PlacementHarness scene;
    RecordedLines lines;
    EventLog log { EventLogOptions {}, lines, scene.clock };
    FlowTracker flows { FlowTrackerOptions {}, scene.targets };
    TokenRouter router { TokenRouterOptions {}, scene.targets, flows, scene.chooser };
    MemberList members { MemberListOptions {}, member(9) };
    RoutingView view { { .maxTargetsAge = 10s, .maxRelayAge = 4s, .relayMargin = 1s }, scene.targets, router, members,
        log, scene.clock };

    void answerTargets(std::uint64_t version, const std::vector<StoreEntry>& entries)
    {
        view.targetObserver().onResponse(currentAnswer(version, scene.clock));
        view.targetObserver().onReachable();
        view.targetObserver().onSnapshot(entries, StoreVersion(version));
    }
    void answerRoutes(std::uint64_t version)
    {
        view.routeObserver().onResponse(currentAnswer(version, scene.clock));
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
    // No decision is pending, but the targets must not grow older than permitted.
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration(10s));
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    fixture.answerTargets(31, { targetEntry(1, 25) });
    // One read at the end of the grace period decides; until then stale reads will do.
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration(2500ms));
    CHECK_FALSE(fixture.view.needsCurrentTargets());
    fixture.scene.clock.advance(5s);
    CHECK(fixture.view.needsCurrentTargets());
    fixture.view.targetObserver().onResponse(staleAnswer(32));
    fixture.scene.targets.expire(fixture.scene.clock.now());
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Missing);
    fixture.view.targetObserver().onResponse(currentAnswer(33, fixture.scene.clock));
    fixture.scene.targets.expire(fixture.scene.clock.now());
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Gone);
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration(10s));
}

// Guards against resets of live flows: the age that a peer's view states does not include its way.
TEST_CASE("The age of a peer's view does not decide whether a missing target is gone")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25), targetEntry(2, 29) });
    fixture.answerRoutes(8);
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    fixture.answerTargets(31, { targetEntry(1, 25) });
    fixture.scene.clock.advance(5s);
    fixture.view.onPeerView(peerView(40, 9, { 1 }), peer);
    fixture.view.targetObserver().onResponse(staleAnswer(40));
    fixture.scene.targets.expire(fixture.scene.clock.now());
    CHECK(fixture.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Missing);
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

namespace {

ViewStatus relayStatus(std::uint64_t targets, std::uint64_t config, Duration age)
{
    return { .targets = StoreVersion(targets), .config = ConfigVersion(config), .targetsAge = age, .routesAge = age };
}

// A balancer whose data centre has relays and that has a view from one of them.
struct FollowerFixture : Fixture {
    FollowerFixture()
    {
        for (std::uint64_t number = 1; number <= 8; ++number)
            members.handle({ .sender = member(number), .hasView = true }, scene.clock.now());
        members.setOwnState(true, false);
        view.onPeerView(peerView(20, 3, { 1, 2 }), peer);
    }
};

} // namespace

// Guards against old news without a bound: a relay may be frozen, cut off from the store or behind it.
TEST_CASE("A follower reads the store itself once no relay has confirmed its view for the permitted time")
{
    FollowerFixture fixture;
    StoreFeedObserver& targets = fixture.view.targetObserver();
    CHECK(targets.untilNeeded() <= Duration::zero());
    fixture.view.onRelayConfirmation(relayStatus(20, 3, 1s), fixture.scene.clock.now());
    CHECK(targets.untilNeeded() == 3s);
    CHECK_FALSE(fixture.view.needsPeerView());

    SECTION("a frozen relay sends nothing")
    {
        fixture.scene.clock.advance(3s);
        CHECK(targets.untilNeeded() <= Duration::zero());
        CHECK(fixture.view.needsPeerView());
    }
    SECTION("a relay that the store does not answer sends growing ages")
    {
        for (int second = 1; second <= 3; ++second) {
            fixture.scene.clock.advance(1s);
            fixture.view.onRelayConfirmation(
                relayStatus(20, 3, 1s + std::chrono::seconds(second)), fixture.scene.clock.now());
        }
        CHECK(targets.untilNeeded() <= Duration::zero());
    }
    SECTION("a relay hears of targets but not of routes")
    {
        ViewStatus status = relayStatus(20, 3, 0s);
        status.routesAge = 5s;
        fixture.scene.clock.advance(3s);
        fixture.view.onRelayConfirmation(status, fixture.scene.clock.now());
        CHECK(fixture.view.routeObserver().untilNeeded() <= Duration::zero());
    }
    SECTION("an earlier status that arrives late does not make the view younger")
    {
        fixture.scene.clock.advance(2s);
        fixture.view.onRelayConfirmation(relayStatus(20, 3, 4s), fixture.scene.clock.now());
        CHECK(targets.untilNeeded() == 1s);
    }
}

TEST_CASE("A relay reads the store with short watches whatever other relays confirm")
{
    FollowerFixture fixture;
    fixture.view.onRelayConfirmation(relayStatus(20, 3, 0s), fixture.scene.clock.now());
    for (std::uint64_t number = 1; number <= 7; ++number) {
        MemberMessage leaving { .sender = member(number), .leaving = true };
        fixture.members.handle(leaving, fixture.scene.clock.now());
    }
    MemberMessage hub { .sender = member(8), .hasView = true };
    hub.memberCount = 40;
    fixture.members.handle(hub, fixture.scene.clock.now());
    REQUIRE(fixture.members.role() == MemberRole::Relay);
    CHECK(fixture.view.targetObserver().untilNeeded() <= Duration::zero());
    // The watch of routes ends early enough to confirm the targets, which are else read themselves.
    CHECK(fixture.view.routeObserver().maxWatchWait() == 2750ms);
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration(3s));
}

// Guards against a missed change when a follower takes over: its own last watch may have failed long ago.
TEST_CASE("A follower continues from the relays' version, unless a call has failed since")
{
    FollowerFixture fixture;
    fixture.view.onRelayConfirmation(relayStatus(25, 3, 0s), fixture.scene.clock.now());
    CHECK(fixture.view.targetObserver().passedOnVersion() == StoreVersion(25));
    fixture.view.targetObserver().onFailure({ .code = ErrorCode::Unavailable, .message = "down" });
    CHECK(fixture.view.targetObserver().passedOnVersion() == StoreVersion());
}

// Guards against flows to a terminated target that wait for their timeout at a balancer that has just restarted.
TEST_CASE("A view passes on targets that have terminated recently, and only changes to a peer that has the rest")
{
    Fixture relay;
    relay.answerTargets(30, { targetEntry(1, 25), targetEntry(2, 29), targetEntry(3, 28) });
    relay.answerRoutes(8);
    StoreEntry draining = targetEntry(2, 31);
    std::get<TargetRecord>(draining.content).state = TargetState::Draining;
    relay.view.targetObserver().onChanges({ draining }, StoreVersion(31));
    relay.scene.clock.advance(3s);
    StoreEntry removal = draining;
    removal.removed = true;
    relay.view.targetObserver().onResponse(currentAnswer(34, relay.scene.clock));
    relay.view.targetObserver().onChanges({ removal }, StoreVersion(34));

    const ViewSnapshot changes = relay.view.snapshot({ .targets = StoreVersion(30), .config = ConfigVersion(8) });
    CHECK_FALSE(changes.complete);
    CHECK(changes.routes == nullptr);
    REQUIRE(changes.targets.size() == 1);
    CHECK(changes.targets[0].presence == TargetPresence::Gone);

    Fixture restarted;
    restarted.view.onPeerView(relay.view.snapshot(), peer);
    REQUIRE(restarted.view.isComplete());
    const PacketFields fields { .key = flowKey(1), .token = tokenOfTarget(2), .payloadBytes = 10 };
    const auto send = [&] { return restarted.router.route(PacketView({}, fields), restarted.scene.clock.now()); };
    // The target may have started again since the peer's view.
    CHECK(std::holds_alternative<DropPacket>(send()));
    restarted.scene.clock.advance(1ms);
    restarted.view.targetObserver().onResponse(currentAnswer(35, restarted.scene.clock));
    CHECK(std::holds_alternative<ResetFlow>(send()));
}

// Guards against a reset of a live flow: only a relay's current read shows that an unknown token has no target.
TEST_CASE("A follower resolves an unknown token by a current read of a relay")
{
    FollowerFixture fixture;
    fixture.view.onRelayConfirmation(relayStatus(25, 3, 0s), fixture.scene.clock.now());
    const PacketFields fields { .key = flowKey(1), .token = FlowToken(77), .payloadBytes = 10 };
    const auto send = [&] { return fixture.router.route(PacketView({}, fields), fixture.scene.clock.now()); };
    CHECK(std::holds_alternative<DropPacket>(send()));
    CHECK_FALSE(fixture.view.needsCurrentTargets());
    fixture.scene.clock.advance(3s);
    CHECK(fixture.view.needsCurrentTargets());
    ViewStatus behind = relayStatus(25, 3, 0s);
    behind.targetsAge = 10s;
    fixture.view.onRelayConfirmation(behind, fixture.scene.clock.now());
    CHECK(std::holds_alternative<DropPacket>(send()));
    fixture.view.onRelayConfirmation(relayStatus(26, 3, 0s), fixture.scene.clock.now());
    CHECK(std::holds_alternative<ResetFlow>(send()));
    CHECK_FALSE(fixture.view.needsCurrentTargets());
}

// Guards against a current read for each change while followers wait for a decision.
TEST_CASE("A relay reads current targets once for all followers that need it")
{
    Fixture fixture;
    fixture.answerTargets(30, { targetEntry(1, 25) });
    fixture.answerRoutes(8);
    for (std::uint64_t number = 11; number <= 20; ++number)
        fixture.members.handle(
            { .sender = member(number), .hasView = true, .needsCurrentTargets = true }, fixture.scene.clock.now());
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration(1s));
    fixture.scene.clock.advance(1s);
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration::zero());
    fixture.view.targetObserver().onResponse(currentAnswer(31, fixture.scene.clock));
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration(1s));
}

// Guards against new flows at leaving targets: a stale answer does not make the targets younger.
TEST_CASE("Targets are as recent as the last current answer of the store whose version they include")
{
    Fixture fixture;
    FakeClock& clock = fixture.scene.clock;
    fixture.answerTargets(30, { targetEntry(1, 25) });
    fixture.answerRoutes(8);
    clock.advance(2s);
    fixture.view.routeObserver().onResponse(currentAnswer(30, clock));
    CHECK(fixture.view.targetsAge() == 0s);

    clock.advance(3s);
    fixture.view.routeObserver().onResponse(currentAnswer(31, clock));
    fixture.view.targetObserver().onResponse(staleAnswer(30));
    CHECK(fixture.view.targetsAge() == 3s);
    clock.advance(1s);
    fixture.view.targetObserver().onResponse(staleAnswer(31));
    CHECK(fixture.view.targetsAge() == 1s);
    // An older answer about routes that arrives late changes nothing.
    fixture.view.routeObserver().onResponse({ .version = StoreVersion(29), .currentAt = clock.now() });
    CHECK(fixture.view.targetsAge() == 1s);

    clock.advance(9s - 1ms);
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration(1ms));
    clock.advance(1ms);
    CHECK(fixture.view.targetObserver().untilCurrentRead() == Duration::zero());
}

// Guards against resets of flows of running targets: a balancer that starts after an outage of the store finds the
// entries missing that have expired, and its peers take over what it believes.
TEST_CASE("A balancer that has just started keeps targets that peers know and the store does not list yet")
{
    Fixture started;
    started.view.onPeerView(peerView(20, 3, { 1, 2, 3, 4, 5, 6, 7, 8 }), peer);
    started.answerTargets(30,
        { targetEntry(1, 1), targetEntry(3, 3), targetEntry(4, 4), targetEntry(5, 5), targetEntry(6, 6),
            targetEntry(7, 7), targetEntry(8, 8) });
    started.answerRoutes(8);
    CHECK(started.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Missing);

    Fixture other;
    other.answerTargets(20, { targetEntry(2, 2) });
    other.answerRoutes(8);
    other.view.onPeerView(started.view.snapshot(other.view.knownVersions()), peer);
    CHECK(other.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Missing);

    other.view.targetObserver().onChanges({ targetEntry(2, 31) }, StoreVersion(31));
    CHECK(other.scene.targets.find(tokenOfTarget(2))->presence == TargetPresence::Listed);
}

// Guards against two calls of every balancer after a mass start: the relays are known a moment later.
TEST_CASE("A balancer that has just read the store waits for relays before it watches")
{
    PlacementHarness scene;
    RecordedLines lines;
    EventLog log { EventLogOptions {}, lines, scene.clock };
    MemberList members { MemberListOptions {}, member(9) };
    RoutingView view { { .maxRelayAge = 4s, .startupTime = 1s }, scene.targets, scene.router, members, log,
        scene.clock };
    CHECK(view.targetObserver().untilNeeded() == Duration::zero());
    view.targetObserver().onResponse(currentAnswer(30, scene.clock));
    view.targetObserver().onSnapshot({ targetEntry(1, 25) }, StoreVersion(30));
    view.routeObserver().onResponse(currentAnswer(30, scene.clock));
    view.routeObserver().onSnapshot({ routesEntry(8) }, StoreVersion(30));
    CHECK(view.targetObserver().untilNeeded() > Duration::zero());
    scene.clock.advance(900ms);
    CHECK(view.targetObserver().untilNeeded() > Duration::zero());

    SECTION("unless it is a relay itself, on which others rely from then on")
    {
        for (std::uint64_t number = 11; number <= 20; ++number)
            members.handle({ .sender = member(number) }, scene.clock.now());
        members.setOwnState(true, false);
        REQUIRE(members.role() == MemberRole::Relay);
        CHECK(view.targetObserver().untilNeeded() == Duration::zero());
    }
    scene.clock.advance(100ms);
    CHECK(view.targetObserver().untilNeeded() <= Duration::zero());
}

namespace {

std::uint64_t inEra(std::uint32_t era, std::uint64_t revision)
{
    return makeStoreVersion(StoreEra(era), revision).value();
}

std::size_t countLines(const RecordedLines& lines, std::string_view text)
{
    return static_cast<std::size_t>(std::count_if(lines.lines.begin(), lines.lines.end(),
        [&](const std::string& line) { return line.find(text) != std::string::npos; }));
}

// A balancer that has read targets 1 and 2 and configuration 8 from the store in era 1.
struct RestoreFixture : Fixture {
    RestoreFixture()
    {
        answerTargets(inEra(1, 30), { targetEntry(1, inEra(1, 25)), targetEntry(2, inEra(1, 29)) });
        view.routeObserver().onResponse(currentAnswer(inEra(1, 30), scene.clock));
        view.routeObserver().onReachable();
        view.routeObserver().onSnapshot(
            { { .name = "main", .version = StoreVersion(inEra(1, 28)), .content = routeTable(8), .error = {} } },
            StoreVersion(inEra(1, 30)));
        scene.clock.advance(10s);
        flows.recordOpening(flowKey(1), tokenOfTarget(2), scene.clock.now());
    }
    Decision sendData(FlowToken token, std::uint32_t flow = 1)
    {
        return router.route(
            PacketView({}, { .key = flowKey(flow), .token = token, .payloadBytes = 10 }), scene.clock.now());
    }
    TargetPresence presence(std::uint64_t number)
    {
        scene.targets.expire(scene.clock.now());
        return scene.targets.find(tokenOfTarget(number))->presence;
    }
};

} // namespace

// Guards against resets of the flows of running targets that the copy lacks from which the store was restored.
TEST_CASE("After a restore of the store, targets that it lacks are missing and no open flow is reset")
{
    RestoreFixture fixture;
    CHECK(fixture.view.storeEra() == StoreEra(1));
    CHECK(countLines(fixture.lines, "era_rose") == 0);
    fixture.answerTargets(inEra(2, 27), { targetEntry(1, inEra(2, 25)) });
    CHECK(fixture.view.storeEra() == StoreEra(2));
    CHECK(countLines(fixture.lines, "era_rose") == 1);
    CHECK(countLines(fixture.lines, "\"old_era\":1,\"new_era\":2") == 1);
    for (int step = 0; step < 6; ++step) {
        CHECK(fixture.presence(2) == TargetPresence::Missing);
        CHECK(std::holds_alternative<ForwardToTarget>(fixture.sendData(tokenOfTarget(2))));
        CHECK_FALSE(std::holds_alternative<ResetFlow>(fixture.sendData(FlowToken(99), 2)));
        fixture.scene.clock.advance(700ms);
        fixture.view.targetObserver().onResponse(currentAnswer(inEra(2, 28), fixture.scene.clock));
        // No read decides anything before the entries can have been written again.
        CHECK_FALSE(fixture.view.needsCurrentTargets());
    }
    SECTION("the target writes its entry again")
    {
        fixture.view.targetObserver().onChanges({ targetEntry(2, inEra(2, 29)) }, StoreVersion(inEra(2, 29)));
        fixture.scene.clock.advance(3s);
        fixture.view.targetObserver().onResponse(currentAnswer(inEra(2, 30), fixture.scene.clock));
        CHECK(fixture.presence(2) == TargetPresence::Listed);
        CHECK(std::holds_alternative<ForwardToTarget>(fixture.sendData(tokenOfTarget(2))));
    }
    SECTION("the target has ended")
    {
        fixture.scene.clock.advance(800ms);
        fixture.view.targetObserver().onResponse(currentAnswer(inEra(2, 30), fixture.scene.clock));
        CHECK(fixture.presence(2) == TargetPresence::Gone);
        CHECK(std::holds_alternative<ResetFlow>(fixture.sendData(tokenOfTarget(2))));
    }
}

// Guards against a configuration that goes back to the copy's, and against a balancer that learns of a restore only
// when its targets are read.
TEST_CASE("A restore is noticed in an answer about routes, and the newer configuration stays")
{
    RestoreFixture fixture;
    fixture.view.routeObserver().onResponse(currentAnswer(inEra(2, 27), fixture.scene.clock));
    fixture.view.routeObserver().onSnapshot(
        { { .name = "main", .version = StoreVersion(inEra(2, 20)), .content = routeTable(7, false), .error = {} } },
        StoreVersion(inEra(2, 27)));
    CHECK(fixture.view.storeEra() == StoreEra(2));
    CHECK(fixture.router.routes()->version() == ConfigVersion(8));
    CHECK(fixture.router.routes()->find(photoAddress) != nullptr);
    // The feed of targets drops answers from before the restore.
    CHECK(fixture.view.targetObserver().highestEra() == StoreEra(2));
    // Removals that the targets' feed reports now may be those of the copy.
    fixture.answerTargets(inEra(2, 27), {});
    CHECK(fixture.presence(1) == TargetPresence::Missing);
    CHECK(countLines(fixture.lines, "era_rose") == 1);
    fixture.view.routeObserver().onRestored(StoreEra(2));
    CHECK(countLines(fixture.lines, "era_rose") == 1);
    fixture.view.targetObserver().onRestored(StoreEra(3));
    CHECK(countLines(fixture.lines, "era_rose") == 2);
    CHECK(fixture.view.storeEra() == StoreEra(3));
}

// Guards against decisions that rest on a relay which has not read the restored store yet.
TEST_CASE("A relay or peer of a lower era confirms nothing")
{
    RestoreFixture fixture;
    fixture.view.recordRelayStatus(relayStatus(inEra(2, 27), 8, 0s));
    CHECK(fixture.view.storeEra() == StoreEra(2));
    CHECK(countLines(fixture.lines, "era_rose") == 1);
    const Duration age = fixture.view.targetsAge();
    CHECK(age == 10s);
    fixture.view.onRelayConfirmation(relayStatus(inEra(1, 90), 8, 0s), fixture.scene.clock.now());
    CHECK(fixture.view.targetsAge() == age);
    CHECK(fixture.view.routesAge() == age);
    CHECK_FALSE(fixture.view.isConfirmedByRelay());
    CHECK(fixture.view.targetsVersion() == StoreVersion(inEra(1, 30)));
    // Its targets are not taken over either, whatever their revision.
    ViewSnapshot old = peerView(inEra(1, 90), 9, {});
    old.evacuations = std::nullopt;
    fixture.view.onPeerView(old, peer);
    CHECK(fixture.presence(1) == TargetPresence::Listed);
    // A higher configuration version is in force, whatever the era.
    CHECK(fixture.router.routes()->version() == ConfigVersion(9));

    fixture.view.onPeerView(peerView(inEra(2, 28), 9, { 1 }), peer);
    CHECK(fixture.presence(2) == TargetPresence::Missing);
    fixture.view.onRelayConfirmation(relayStatus(inEra(2, 28), 9, 0s), fixture.scene.clock.now());
    CHECK(fixture.view.isConfirmedByRelay());
    CHECK(fixture.view.targetObserver().passedOnVersion() == StoreVersion(inEra(2, 28)));
}

// Guards against a first answer that is taken for a restore, which would delay resets after each start.
TEST_CASE("The first era that a balancer learns is no restore, and a version of 0 tells no era")
{
    Fixture fixture;
    fixture.view.recordRelayStatus(relayStatus(0, 0, 0s));
    fixture.answerTargets(inEra(4, 30), { targetEntry(1, inEra(4, 25)) });
    CHECK(fixture.view.storeEra() == StoreEra(4));
    CHECK(countLines(fixture.lines, "era_rose") == 0);
}
