#include <anvilwalk/placement.h>
#include <fakes/PlacementHarness.h>

#include <catch2/catch.hpp>
#include <map>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

bool isReset(const Decision& decision, DropReason reason)
{
    const auto* reset = std::get_if<ResetFlow>(&decision);
    return reset != nullptr && reset->reason == reason;
}

bool isDrop(const Decision& decision, DropReason reason)
{
    const auto* drop = std::get_if<DropPacket>(&decision);
    return drop != nullptr && drop->reason == reason;
}

} // namespace

// Guards against moving a flow to another target when its packets reach a balancer that has no state of the flow.
TEST_CASE("TokenRouter forwards an untracked flow by its token")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    harness.put(targetRecord(2));
    const Decision decision = harness.sendData(flowKey(1), tokenOfTarget(2));
    const auto* forward = std::get_if<ForwardToTarget>(&decision);
    REQUIRE(forward != nullptr);
    CHECK(forward->targetKey == TargetKey(2));
    CHECK(forward->tunnel == targetRecord(2).address);
}

TEST_CASE("TokenRouter sends flows only to targets of their own service")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    harness.put(targetRecord(2, photoService));
    for (std::uint32_t number = 0; number < 50; ++number) {
        CHECK(harness.open(flowKey(number)) == tokenOfTarget(1));
        CHECK(harness.open(flowKey(number, photoAddress)) == tokenOfTarget(2));
    }
}

TEST_CASE("TokenRouter resets a new flow immediately if no target accepts it")
{
    PlacementHarness harness;
    CHECK(isReset(harness.send({ .key = flowKey(1), .kind = PacketKind::Opening }), DropReason::NoTarget));
    harness.put(targetRecord(1, boardService, "lima-a", TargetState::Draining));
    CHECK(isReset(harness.send({ .key = flowKey(1), .kind = PacketKind::Opening }), DropReason::NoTarget));
}

TEST_CASE("TokenRouter resets flows of a route removed by a configuration change")
{
    PlacementHarness harness;
    harness.put(targetRecord(1, photoService));
    const FlowKey key = flowKey(1, photoAddress);
    CHECK(harness.open(key) == tokenOfTarget(1));
    harness.router.setRoutes(routeTable(2, false));
    CHECK(isReset(harness.sendData(key, tokenOfTarget(1)), DropReason::UnknownAddress));
    // A delayed older configuration does not restore the route.
    harness.router.setRoutes(routeTable(1));
    CHECK(isReset(harness.sendData(key, tokenOfTarget(1)), DropReason::UnknownAddress));
}

// Guards against resets of open flows at a balancer that does not have their new route yet: after another balancer has
// stopped or started, packets of any flow may arrive here.
TEST_CASE("TokenRouter forwards an open flow whose route it does not know yet")
{
    PlacementHarness harness;
    harness.put(targetRecord(1, photoService));
    TokenRouter router({}, harness.targets, harness.flows, harness.chooser);
    const PacketFields fields { .key = flowKey(1, photoAddress), .token = tokenOfTarget(1), .payloadBytes = 10 };
    const auto send
        = [&](const PacketFields& packet) { return router.route(PacketView({}, packet), harness.clock.now()); };
    CHECK(std::holds_alternative<ForwardToTarget>(send(fields)));
    router.setRoutes(routeTable(1, false));
    CHECK(std::holds_alternative<ForwardToTarget>(send(fields)));
    // A new flow is rejected at once; nothing has run.
    const PacketFields opening { .key = flowKey(2, photoAddress), .kind = PacketKind::Opening };
    CHECK(isReset(send(opening), DropReason::UnknownAddress));
    router.setRoutes(routeTable(2));
    CHECK(std::holds_alternative<ForwardToTarget>(send(fields)));
}

// Guards against resets of open flows over a route that was withdrawn and added again, at a balancer that has only read
// of the withdrawal.
TEST_CASE("TokenRouter resets flows of a withdrawn route at once only if they passed here before")
{
    PlacementHarness harness;
    harness.put(targetRecord(1, photoService));
    const FlowKey known = flowKey(1, photoAddress);
    const FlowKey other = flowKey(2, photoAddress);
    const FlowToken token = tokenOfTarget(1);
    CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(known, token)));
    harness.router.setRoutes(routeTable(2, false));
    CHECK(isReset(harness.sendData(known, token), DropReason::UnknownAddress));
    CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(other, token)));
    harness.clock.advance(100ms);
    CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(other, token)));

    SECTION("the route was added again")
    {
        harness.router.setRoutes(routeTable(3));
        harness.router.recordRoutesConfirmed(harness.clock.now());
        CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(other, token)));
    }
    SECTION("the route was not added again")
    {
        harness.router.recordRoutesConfirmed(harness.clock.now());
        CHECK(isReset(harness.sendData(other, token), DropReason::UnknownAddress));
    }
}

// Guards against flows over a withdrawn route that never end at a balancer that started after the withdrawal.
TEST_CASE("TokenRouter resets an open flow without a route once the store has confirmed the routes")
{
    PlacementHarness harness;
    harness.put(targetRecord(1, photoService));
    TokenRouter router({}, harness.targets, harness.flows, harness.chooser);
    router.setRoutes(routeTable(1, false));
    const auto send = [&](std::uint32_t flow) {
        return router.route(
            PacketView({}, { .key = flowKey(flow, photoAddress), .token = tokenOfTarget(1), .payloadBytes = 10 }),
            harness.clock.now());
    };
    CHECK(std::holds_alternative<ForwardToTarget>(send(1)));
    const MonotonicTime firstPacket = harness.clock.now();
    harness.clock.advance(2s);
    // The routes were read before the flow's first packet: a newer configuration may have added the route.
    router.recordRoutesConfirmed(firstPacket);
    CHECK(std::holds_alternative<ForwardToTarget>(send(1)));
    router.recordRoutesConfirmed(firstPacket + 1ms);
    CHECK(isReset(send(1), DropReason::UnknownAddress));
    // Another flow may have been opened after that.
    CHECK(std::holds_alternative<ForwardToTarget>(send(2)));
}

// Guards against clients that wait for their timeout after their target has terminated.
TEST_CASE("TokenRouter resets a flow whose target is gone")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 8; ++number)
        harness.put(targetRecord(number));
    harness.remove(3);
    CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(flowKey(1), tokenOfTarget(3))));
    harness.clock.advance(2500ms);
    harness.targets.recordConfirmed(harness.clock.now());
    harness.targets.expire(harness.clock.now());
    CHECK(isReset(harness.sendData(flowKey(1), tokenOfTarget(3)), DropReason::TargetGone));
    // A reset is never answered with a reset.
    CHECK(isDrop(
        harness.send({ .key = flowKey(1), .kind = PacketKind::Closing, .reset = true, .token = tokenOfTarget(3) }),
        DropReason::TargetGone));
}

// Guards against resetting a flow that opened at a restarted target before this balancer learned of the restart. Flows
// of the previous run are reset by the target itself.
TEST_CASE("TokenRouter keeps forwarding to a target that restarted under the same name")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    const auto token = harness.open(flowKey(1));
    REQUIRE(token);
    TargetRecord restarted = targetRecord(1);
    restarted.startedMs += 5000;
    harness.put(restarted);
    CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(flowKey(1), *token)));
}

// Guards against resetting a live flow at a balancer whose list of targets is older than that of the balancer that
// placed the flow.
TEST_CASE("TokenRouter drops packets with an unknown token until the store has answered after the grace period")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    CHECK_FALSE(harness.router.currentAnswerDue());
    CHECK(isDrop(harness.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    CHECK(harness.router.currentAnswerDue() == harness.clock.now() + 2500ms);
    harness.clock.advance(2499ms);
    harness.router.recordTargetsConfirmed(harness.clock.now());
    CHECK(isDrop(harness.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    // Elapsed time without an answer of the store does not confirm the token as unknown.
    harness.clock.advance(20s);
    CHECK(isDrop(harness.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    harness.router.recordTargetsConfirmed(harness.clock.now());
    CHECK(isReset(harness.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    CHECK_FALSE(harness.router.currentAnswerDue());
    harness.router.setViewCurrent(false);
    CHECK(isDrop(harness.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
}

// Guards against reads of the store for a decision that is no longer needed: a new target is unknown for a moment at
// every balancer that has not heard of it yet.
TEST_CASE("TokenRouter needs no current answer once a token has become known")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    CHECK(isDrop(harness.sendData(flowKey(1), tokenOfTarget(2)), DropReason::UnknownToken));
    CHECK(harness.router.currentAnswerDue());
    harness.put(targetRecord(2));
    harness.router.expire(harness.clock.now());
    CHECK_FALSE(harness.router.currentAnswerDue());
}

// Guards against resets of flows at a target that has started again under its id, by a balancer that has not heard of
// it yet.
TEST_CASE("TokenRouter resets a flow of a gone target only if the targets were confirmed after the flow's first packet")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 8; ++number)
        harness.put(targetRecord(number));
    CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(flowKey(1), tokenOfTarget(3))));
    harness.remove(3);
    harness.clock.advance(2500ms);
    const auto confirm = [&] {
        harness.targets.recordConfirmed(harness.clock.now());
        harness.router.recordTargetsConfirmed(harness.clock.now());
        harness.targets.expire(harness.clock.now());
    };
    confirm();
    // This flow passed here before the target terminated, the other one may belong to the target's next run.
    CHECK(isReset(harness.sendData(flowKey(1), tokenOfTarget(3)), DropReason::TargetGone));
    CHECK(isDrop(harness.sendData(flowKey(2), tokenOfTarget(3)), DropReason::TargetGone));
    harness.clock.advance(1s);

    SECTION("the target has started again")
    {
        TargetRecord next = targetRecord(3);
        next.startedMs += 5000;
        harness.put(next);
        CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(flowKey(2), tokenOfTarget(3))));
    }
    SECTION("the target has not started again")
    {
        CHECK(isDrop(harness.sendData(flowKey(2), tokenOfTarget(3)), DropReason::TargetGone));
        confirm();
        CHECK(isReset(harness.sendData(flowKey(2), tokenOfTarget(3)), DropReason::TargetGone));
    }
}

// Guards against the same with a target that this balancer has forgotten, and against resets of flows of running
// targets that cannot restore their entries while the store is away.
TEST_CASE("TokenRouter resets a flow with an unknown token only for an answer after its first packet and after outages")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    CHECK(isDrop(harness.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    harness.clock.advance(2s);
    harness.router.recordStoreOutage(harness.clock.now());
    harness.clock.advance(2400ms);
    harness.router.recordTargetsConfirmed(harness.clock.now());
    CHECK(isDrop(harness.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    harness.clock.advance(100ms);
    harness.router.recordTargetsConfirmed(harness.clock.now());
    CHECK(isReset(harness.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    CHECK(isDrop(harness.sendData(flowKey(2), FlowToken(99)), DropReason::UnknownToken));
    harness.clock.advance(1ms);
    harness.router.recordTargetsConfirmed(harness.clock.now());
    CHECK(isReset(harness.sendData(flowKey(2), FlowToken(99)), DropReason::UnknownToken));
}

TEST_CASE("TokenRouter drops a packet of an open flow without a token")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    CHECK(isDrop(harness.sendData(flowKey(1), FlowToken()), DropReason::NoToken));
}

TEST_CASE("TokenRouter drops all packets before it has routes")
{
    PlacementHarness harness;
    TokenRouter fresh({}, harness.targets, harness.flows, harness.chooser);
    const PacketFields fields { .key = flowKey(1), .kind = PacketKind::Opening };
    CHECK(isDrop(fresh.route(PacketView({}, fields), harness.clock.now()), DropReason::StaleState));
}

// Guards against clients that give up because all retransmissions of their opening packet go to a target that is down.
TEST_CASE("TokenRouter sends each retransmission of an opening packet to another target")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 5; ++number)
        harness.put(targetRecord(number));
    for (std::uint32_t number = 0; number < 100; ++number) {
        const auto first = harness.open(flowKey(number));
        const auto second = harness.open(flowKey(number), 1);
        const auto third = harness.open(flowKey(number), 2);
        CHECK(first != second);
        CHECK(first != third);
        CHECK(second != third);
    }
}

TEST_CASE("TokenRouter splits new flows by weight, consistently for retransmissions")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    harness.put(targetRecord(2, photoService));
    std::vector<Route> routes;
    routes.push_back({ .name = "split",
        .address = boardAddress,
        .services = { { .service = boardService, .weight = 90 }, { .service = photoService, .weight = 10 } } });
    harness.router.setRoutes(std::make_shared<const RouteTable>(ConfigVersion(2), std::move(routes), 15s));
    std::map<FlowToken, int> counts;
    for (std::uint32_t number = 0; number < 2000; ++number) {
        const auto token = harness.open(flowKey(number));
        CHECK(harness.open(flowKey(number), 1) == token);
        ++counts[*token];
    }
    CHECK(counts[tokenOfTarget(2)] > 140);
    CHECK(counts[tokenOfTarget(2)] < 260);
}

// Guards against new flows at two targets with the same token, which packets could not distinguish.
TEST_CASE("TokenRouter opens no flow at a target whose token collides with that of an earlier one")
{
    PlacementHarness harness;
    TargetRecord first = targetRecord(1);
    TargetRecord later = targetRecord(1);
    // Equal keys give equal tokens and so simulate a collision.
    later.name = "j-1";
    later.startedMs += 1;
    later.service = photoService;
    harness.put(first);
    harness.put(later);
    CHECK(harness.open(flowKey(1)) == tokenOfTarget(1));
    CHECK(
        isReset(harness.send({ .key = flowKey(2, photoAddress), .kind = PacketKind::Opening }), DropReason::NoTarget));
}

// Guards against resets of open flows over a route that the copy lacks from which the store was restored, and against
// routes that revert to this copy.
TEST_CASE("TokenRouter keeps the newer configuration when the store was restored from an older copy")
{
    PlacementHarness harness;
    harness.put(targetRecord(1, photoService));
    harness.router.setRoutes(routeTable(5));
    const FlowKey key = flowKey(1, photoAddress);
    CHECK(harness.open(key) == tokenOfTarget(1));
    harness.router.recordStoreRestored(harness.clock.now());
    harness.router.setRoutes(routeTable(4, false));
    CHECK(harness.router.routes()->version() == ConfigVersion(5));
    for (int step = 0; step < 8; ++step) {
        CHECK(std::holds_alternative<ForwardToTarget>(harness.sendData(key, tokenOfTarget(1))));
        harness.clock.advance(1s);
        harness.router.recordRoutesConfirmed(harness.clock.now());
    }
    CHECK(harness.open(flowKey(2, photoAddress)) == tokenOfTarget(1));
}

// Guards against resets of open flows whose route or target is in no copy yet and is known to other balancers only.
TEST_CASE("TokenRouter resets no open flow for an unknown route or target until a restored store is complete again")
{
    PlacementHarness harness;
    harness.put(targetRecord(1, photoService));
    TokenRouter router({}, harness.targets, harness.flows, harness.chooser);
    router.setRoutes(routeTable(1, false));
    router.setViewCurrent(true);
    const auto sendTo = [&](const ServiceAddress& address, FlowToken token) {
        return router.route(
            PacketView({}, { .key = flowKey(1, address), .token = token, .payloadBytes = 10 }), harness.clock.now());
    };
    const FlowToken unknown(99);
    CHECK(std::holds_alternative<ForwardToTarget>(sendTo(photoAddress, tokenOfTarget(1))));
    CHECK(isDrop(sendTo(boardAddress, unknown), DropReason::UnknownToken));
    harness.clock.advance(100ms);
    const MonotonicTime restoredAt = harness.clock.now();
    router.recordStoreRestored(restoredAt);
    CHECK(router.currentAnswerDue() == restoredAt + 5s);
    harness.clock.advance(4999ms);
    router.recordRoutesConfirmed(harness.clock.now());
    router.recordTargetsConfirmed(harness.clock.now());
    CHECK(std::holds_alternative<ForwardToTarget>(sendTo(photoAddress, tokenOfTarget(1))));
    CHECK(isDrop(sendTo(boardAddress, unknown), DropReason::UnknownToken));
    // A confirmation from within that time does not count later either.
    harness.clock.advance(1s);
    CHECK(std::holds_alternative<ForwardToTarget>(sendTo(photoAddress, tokenOfTarget(1))));
    CHECK(isDrop(sendTo(boardAddress, unknown), DropReason::UnknownToken));
    router.recordRoutesConfirmed(restoredAt + 5s);
    router.recordTargetsConfirmed(restoredAt + 5s);
    CHECK(isReset(sendTo(photoAddress, tokenOfTarget(1)), DropReason::UnknownAddress));
    CHECK(isReset(sendTo(boardAddress, unknown), DropReason::UnknownToken));
}
