#include <anvilwalk/placement.h>
#include <fakes/PlacementScene.h>

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

// Guards against a flow that moves to another target because its packets arrive at a balancer that never saw it.
TEST_CASE("TokenRouter forwards a flow it has never seen by its token")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    scene.put(targetRecord(2));
    const Decision decision = scene.sendData(flowKey(1), tokenOfTarget(2));
    const auto* forward = std::get_if<ForwardToTarget>(&decision);
    REQUIRE(forward != nullptr);
    CHECK(forward->targetKey == TargetKey(2));
    CHECK(forward->tunnel == targetRecord(2).address);
}

TEST_CASE("TokenRouter keeps services apart")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    scene.put(targetRecord(2, photoService));
    for (std::uint32_t number = 0; number < 50; ++number) {
        CHECK(scene.open(flowKey(number)) == tokenOfTarget(1));
        CHECK(scene.open(flowKey(number, photoAddress)) == tokenOfTarget(2));
    }
}

TEST_CASE("TokenRouter refuses at once what no target can serve")
{
    PlacementScene scene;
    CHECK(isReset(scene.send({ .key = flowKey(1), .kind = PacketKind::Opening }), DropReason::NoTarget));
    scene.put(targetRecord(1, boardService, "lima-a", TargetState::Draining));
    CHECK(isReset(scene.send({ .key = flowKey(1), .kind = PacketKind::Opening }), DropReason::NoTarget));
}

TEST_CASE("TokenRouter resets flows of a route that a configuration removed")
{
    PlacementScene scene;
    scene.put(targetRecord(1, photoService));
    const FlowKey key = flowKey(1, photoAddress);
    CHECK(scene.open(key) == tokenOfTarget(1));
    scene.router.setRoutes(routeTable(2, false));
    CHECK(isReset(scene.sendData(key, tokenOfTarget(1)), DropReason::UnknownAddress));
    // A late answer of the store does not bring the route back.
    scene.router.setRoutes(routeTable(1));
    CHECK(isReset(scene.sendData(key, tokenOfTarget(1)), DropReason::UnknownAddress));
}

// Guards against clients that wait for their timeout after their target has ended.
TEST_CASE("TokenRouter resets a flow whose target is gone")
{
    PlacementScene scene;
    for (std::uint64_t number = 1; number <= 8; ++number)
        scene.put(targetRecord(number));
    scene.remove(3);
    CHECK(isReset(scene.sendData(flowKey(1), tokenOfTarget(3)), DropReason::TargetGone));
    // A reset is never answered with a reset.
    CHECK(
        isDrop(scene.send({ .key = flowKey(1), .kind = PacketKind::Closing, .reset = true, .token = tokenOfTarget(3) }),
            DropReason::TargetGone));
}

// Guards against a reset of a flow that opened at the next run of a target before this balancer heard of that run. A
// flow of the earlier run is reset by the target itself, which does not hold it.
TEST_CASE("TokenRouter goes on forwarding to a target that has started again under its name")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    const auto token = scene.open(flowKey(1));
    REQUIRE(token);
    TargetRecord again = targetRecord(1);
    again.startedMs += 5000;
    scene.put(again);
    CHECK(std::holds_alternative<ForwardToTarget>(scene.sendData(flowKey(1), *token)));
}

// Guards against a reset of a live flow by a balancer whose view is behind that of the one that placed it.
TEST_CASE("TokenRouter is silent about an unknown token until its view must have the target")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    CHECK_FALSE(scene.router.hasUnknownTokens());
    CHECK(isDrop(scene.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    CHECK(scene.router.hasUnknownTokens());
    scene.clock.advance(2499ms);
    scene.router.noteStoreAnswer(scene.clock.now());
    CHECK(isDrop(scene.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    // Silence of the store shows nothing.
    scene.clock.advance(20s);
    CHECK(isDrop(scene.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    scene.router.noteStoreAnswer(scene.clock.now());
    CHECK(isReset(scene.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
    CHECK_FALSE(scene.router.hasUnknownTokens());
    scene.router.setViewCurrent(false);
    CHECK(isDrop(scene.sendData(flowKey(1), FlowToken(99)), DropReason::UnknownToken));
}

TEST_CASE("TokenRouter drops a packet of an open flow without a token")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    CHECK(isDrop(scene.sendData(flowKey(1), FlowToken()), DropReason::NoToken));
}

TEST_CASE("TokenRouter takes no packet before it has routes")
{
    PlacementScene scene;
    TokenRouter fresh({}, scene.targets, scene.flows, scene.chooser);
    const PacketFields fields { .key = flowKey(1), .kind = PacketKind::Opening };
    CHECK(isDrop(fresh.route(PacketView({}, fields), scene.clock.now()), DropReason::StaleState));
}

// Guards against clients that give up because all copies of their opening packet go to a target that is down.
TEST_CASE("TokenRouter sends each copy of an opening packet to another target")
{
    PlacementScene scene;
    for (std::uint64_t number = 1; number <= 5; ++number)
        scene.put(targetRecord(number));
    for (std::uint32_t number = 0; number < 100; ++number) {
        const auto first = scene.open(flowKey(number));
        const auto second = scene.open(flowKey(number), 1);
        const auto third = scene.open(flowKey(number), 2);
        CHECK(first != second);
        CHECK(first != third);
        CHECK(second != third);
    }
}

TEST_CASE("TokenRouter splits new flows by weight, the same for each copy")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    scene.put(targetRecord(2, photoService));
    std::vector<Route> routes;
    routes.push_back({ .name = "split",
        .address = boardAddress,
        .services = { { .service = boardService, .weight = 90 }, { .service = photoService, .weight = 10 } } });
    scene.router.setRoutes(std::make_shared<const RouteTable>(ConfigVersion(2), std::move(routes), 15s));
    std::map<FlowToken, int> counts;
    for (std::uint32_t number = 0; number < 2000; ++number) {
        const auto token = scene.open(flowKey(number));
        CHECK(scene.open(flowKey(number), 1) == token);
        ++counts[*token];
    }
    CHECK(counts[tokenOfTarget(2)] > 140);
    CHECK(counts[tokenOfTarget(2)] < 260);
}

// Guards against two targets whose flows cannot be told apart.
TEST_CASE("TokenRouter opens no flow at a target whose token an earlier one has")
{
    PlacementScene scene;
    TargetRecord first = targetRecord(1);
    TargetRecord later = targetRecord(1);
    // Equal keys give equal tokens, as two colliding targets have.
    later.name = "j-1";
    later.startedMs += 1;
    later.service = photoService;
    scene.put(first);
    scene.put(later);
    CHECK(scene.open(flowKey(1)) == tokenOfTarget(1));
    CHECK(isReset(scene.send({ .key = flowKey(2, photoAddress), .kind = PacketKind::Opening }), DropReason::NoTarget));
}
