#include <anvilwalk/placement.h>
#include <fakes/PlacementScene.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

const TargetActivity& activity(PlacementScene& scene, std::uint64_t number)
{
    return scene.targets.find(tokenOfTarget(number))->activity;
}

} // namespace

TEST_CASE("FlowTracker follows a flow from its opening packet to its end")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    scene.open(key);
    CHECK(activity(scene, 1).openings == 1);
    scene.sendData(key, tokenOfTarget(1));
    CHECK(activity(scene, 1).openings == 0);
    CHECK(activity(scene, 1).openFlows == 1);
    CHECK(activity(scene, 1).requests == 1);
    scene.clock.advance(40ms);
    // The next request acknowledges the response.
    scene.sendData(key, tokenOfTarget(1), 1001);
    CHECK(activity(scene, 1).responseTime == 40ms);
    CHECK(activity(scene, 1).requests == 1);
    scene.send({ .key = key, .kind = PacketKind::Closing, .token = tokenOfTarget(1), .acknowledgement = 2001 });
    CHECK(activity(scene, 1).requests == 0);
    CHECK(activity(scene, 1).openFlows == 0);
    CHECK(scene.flows.size() == 0);
}

// Guards against flow and request counts that are never decremented because the flow was closed through another
// balancer.
TEST_CASE("FlowTracker removes idle flows and requests that timed out")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    scene.open(key);
    scene.open(flowKey(2));
    scene.sendData(key, tokenOfTarget(1));
    scene.clock.advance(1600ms);
    scene.flows.expire(scene.clock.now());
    CHECK(activity(scene, 1).openings == 0);
    scene.clock.advance(3400ms);
    scene.flows.expire(scene.clock.now());
    CHECK(activity(scene, 1).requests == 0);
    CHECK(activity(scene, 1).openFlows == 1);
    scene.flows.setIdleTimeout(20s);
    scene.clock.advance(10s);
    scene.flows.expire(scene.clock.now());
    CHECK(activity(scene, 1).openFlows == 1);
    scene.clock.advance(5s);
    scene.flows.expire(scene.clock.now());
    CHECK(activity(scene, 1).openFlows == 0);
}

TEST_CASE("FlowTracker counts a flow that was opened through another balancer")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    scene.sendData(flowKey(1), tokenOfTarget(1));
    CHECK(activity(scene, 1).openFlows == 1);
    CHECK(activity(scene, 1).requests == 1);
}

// Guards against treating a crashed target as recovered because clients of flows that were opened through other
// balancers keep retransmitting packets to it.
TEST_CASE("FlowTracker clears the suspicion only after a response to a flow opened through this balancer")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    scene.open(flowKey(1));
    scene.clock.advance(200ms);
    scene.open(flowKey(1), 1);
    CHECK(activity(scene, 1).unanswered >= doubtThreshold);
    scene.sendData(flowKey(2), tokenOfTarget(1));
    CHECK(activity(scene, 1).unanswered >= doubtThreshold);
    scene.sendData(flowKey(1), tokenOfTarget(1));
    CHECK(activity(scene, 1).unanswered == 0);
}

// Scenario: a target crashes while it processes requests.
TEST_CASE("FlowTracker suspects a target whose clients retransmit requests, until it responds")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    for (std::uint32_t number = 1; number <= 2; ++number) {
        CHECK(activity(scene, 1).unanswered < doubtThreshold);
        scene.sendData(flowKey(number), tokenOfTarget(1));
        scene.clock.advance(200ms);
        scene.sendData(flowKey(number), tokenOfTarget(1));
    }
    CHECK(activity(scene, 1).unanswered >= doubtThreshold);
    scene.sendData(flowKey(1), tokenOfTarget(1), 1001);
    CHECK(activity(scene, 1).unanswered == 0);
}

// Guards against unbounded memory use when packets of forged flows arrive.
TEST_CASE("FlowTracker tracks no more flows than its capacity")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    FlowTracker small({ .capacity = 10 }, scene.targets);
    for (std::uint32_t number = 0; number < 100; ++number)
        small.noteOpening(flowKey(number), tokenOfTarget(1), scene.clock.now());
    CHECK(small.size() == 10);
    CHECK(activity(scene, 1).openings == 10);
}

TEST_CASE("FlowTracker resets the state of a flow when a client reuses a port")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    scene.open(key);
    scene.sendData(key, tokenOfTarget(1));
    scene.open(key);
    CHECK(activity(scene, 1).openFlows == 0);
    CHECK(activity(scene, 1).requests == 0);
    CHECK(activity(scene, 1).openings == 1);
}
