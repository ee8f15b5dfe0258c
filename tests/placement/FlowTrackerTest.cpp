#include <anvilwalk/placement.h>
#include <fakes/PlacementHarness.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

const TargetActivity& activity(PlacementHarness& harness, std::uint64_t number)
{
    return harness.targets.find(tokenOfTarget(number))->activity;
}

} // namespace

TEST_CASE("FlowTracker follows a flow from its opening packet to its end")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    harness.open(key);
    CHECK(activity(harness, 1).pendingOpenings == 1);
    harness.sendData(key, tokenOfTarget(1));
    CHECK(activity(harness, 1).pendingOpenings == 0);
    CHECK(activity(harness, 1).openFlows == 1);
    CHECK(activity(harness, 1).requestsInProgress == 1);
    harness.clock.advance(40ms);
    // The next request acknowledges the response.
    harness.sendData(key, tokenOfTarget(1), 1001);
    CHECK(activity(harness, 1).responseTime == 40ms);
    CHECK(activity(harness, 1).requestsInProgress == 1);
    harness.send({ .key = key, .kind = PacketKind::Closing, .token = tokenOfTarget(1), .acknowledgement = 2001 });
    CHECK(activity(harness, 1).requestsInProgress == 0);
    CHECK(activity(harness, 1).openFlows == 0);
    CHECK(harness.flows.size() == 0);
}

// Guards against flow and request counts that are never decremented because the flow was closed through another
// balancer.
TEST_CASE("FlowTracker removes idle flows and requests that timed out")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    harness.open(key);
    harness.open(flowKey(2));
    harness.sendData(key, tokenOfTarget(1));
    harness.clock.advance(1600ms);
    harness.flows.expire(harness.clock.now());
    CHECK(activity(harness, 1).pendingOpenings == 0);
    harness.clock.advance(3400ms);
    harness.flows.expire(harness.clock.now());
    CHECK(activity(harness, 1).requestsInProgress == 0);
    CHECK(activity(harness, 1).openFlows == 1);
    harness.flows.setIdleTimeout(20s);
    harness.clock.advance(10s);
    harness.flows.expire(harness.clock.now());
    CHECK(activity(harness, 1).openFlows == 1);
    harness.clock.advance(5s);
    harness.flows.expire(harness.clock.now());
    CHECK(activity(harness, 1).openFlows == 0);
}

TEST_CASE("FlowTracker counts a flow that was opened through another balancer")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    harness.sendData(flowKey(1), tokenOfTarget(1));
    CHECK(activity(harness, 1).openFlows == 1);
    CHECK(activity(harness, 1).requestsInProgress == 1);
}

// Guards against treating a crashed target as recovered because clients of flows that were opened through other
// balancers keep retransmitting packets to it.
TEST_CASE("FlowTracker clears the suspicion only after a response to a flow opened through this balancer")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    harness.open(flowKey(1));
    harness.clock.advance(200ms);
    harness.open(flowKey(1), 1);
    CHECK(activity(harness, 1).suspicionLevel >= suspicionThreshold);
    harness.sendData(flowKey(2), tokenOfTarget(1));
    CHECK(activity(harness, 1).suspicionLevel >= suspicionThreshold);
    harness.sendData(flowKey(1), tokenOfTarget(1));
    CHECK(activity(harness, 1).suspicionLevel == 0);
}

// Scenario: a target crashes while it processes requests.
TEST_CASE("FlowTracker suspects a target whose clients retransmit requests, until it responds")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    for (std::uint32_t number = 1; number <= 2; ++number) {
        CHECK(activity(harness, 1).suspicionLevel < suspicionThreshold);
        harness.sendData(flowKey(number), tokenOfTarget(1));
        harness.clock.advance(200ms);
        harness.sendData(flowKey(number), tokenOfTarget(1));
    }
    CHECK(activity(harness, 1).suspicionLevel >= suspicionThreshold);
    harness.sendData(flowKey(1), tokenOfTarget(1), 1001);
    CHECK(activity(harness, 1).suspicionLevel == 0);
}

// Guards against unbounded memory use when packets of forged flows arrive.
TEST_CASE("FlowTracker tracks no more flows than its capacity")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    FlowTracker small({ .capacity = 10 }, harness.targets);
    for (std::uint32_t number = 0; number < 100; ++number)
        small.recordOpening(flowKey(number), tokenOfTarget(1), harness.clock.now());
    CHECK(small.size() == 10);
    CHECK(activity(harness, 1).pendingOpenings == 10);
}

TEST_CASE("FlowTracker resets the state of a flow when a client reuses a port")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    harness.open(key);
    harness.sendData(key, tokenOfTarget(1));
    harness.open(key);
    CHECK(activity(harness, 1).openFlows == 0);
    CHECK(activity(harness, 1).requestsInProgress == 0);
    CHECK(activity(harness, 1).pendingOpenings == 1);
}
