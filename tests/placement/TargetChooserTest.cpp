#include <anvilwalk/placement.h>
#include <fakes/PlacementHarness.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

std::map<FlowToken, int> openFlows(PlacementHarness& harness, std::uint32_t from, std::uint32_t count)
{
    std::map<FlowToken, int> counts;
    for (std::uint32_t number = from; number < from + count; ++number) {
        const auto token = harness.open(flowKey(number));
        REQUIRE(token);
        harness.sendData(flowKey(number), *token);
        ++counts[*token];
    }
    return counts;
}

} // namespace

// Scenario: many long-lived flows are opened one after another.
TEST_CASE("TargetChooser distributes long-lived flows evenly over the targets")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 5; ++number)
        harness.put(targetRecord(number));
    const auto counts = openFlows(harness, 0, 100);
    REQUIRE(counts.size() == 5);
    for (const auto& [token, count] : counts)
        CHECK(count == 20);
}

TEST_CASE("TargetChooser prefers targets of its own data centre until they are loaded")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    harness.put(targetRecord(2, boardService, "lima-b"));
    CHECK(harness.open(flowKey(1)) == tokenOfTarget(1));
    // Once enough requests are in progress at the local target, the remote one is less loaded despite its penalty.
    const auto counts = openFlows(harness, 10, 40);
    CHECK(counts.count(tokenOfTarget(2)) == 1);
}

// Scenario: a target stops responding while the store still lists it.
TEST_CASE("TargetChooser avoids a target that does not respond to opening packets, and retries it later")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    harness.put(targetRecord(2));
    FlowKey unanswered;
    for (std::uint32_t number = 1;; ++number) {
        unanswered = flowKey(number);
        const auto token = harness.open(unanswered);
        if (token == tokenOfTarget(1))
            break;
        harness.sendData(unanswered, *token);
    }
    harness.clock.advance(200ms);
    CHECK(harness.open(unanswered, 1) == tokenOfTarget(2));
    for (std::uint32_t number = 100; number < 150; ++number)
        CHECK(harness.open(flowKey(number)) == tokenOfTarget(2));
    harness.clock.advance(5s);
    harness.flows.expire(harness.clock.now());
    const auto counts = openFlows(harness, 200, 20);
    CHECK(counts.count(tokenOfTarget(1)) == 1);
}

// Scenario: a target that has been down for seconds has no load, so that after the backoff time every new flow would go
// there.
TEST_CASE("TargetChooser probes a suspected target with one flow at a time")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    FlowKey first = flowKey(1);
    harness.open(first);
    harness.clock.advance(200ms);
    harness.open(first, 1);
    for (std::uint64_t number = 2; number <= 4; ++number)
        harness.put(targetRecord(number));
    harness.clock.advance(4s);
    harness.flows.expire(harness.clock.now());
    int probes = 0;
    for (std::uint32_t number = 100; number < 130; ++number) {
        const auto token = harness.open(flowKey(number));
        probes += token == tokenOfTarget(1) ? 1 : 0;
        if (token != tokenOfTarget(1))
            harness.sendData(flowKey(number), *token);
    }
    CHECK(probes == 1);
}

TEST_CASE("TargetChooser uses a suspected target when there is no other")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    CHECK(harness.open(key) == tokenOfTarget(1));
    harness.clock.advance(200ms);
    CHECK(harness.open(key, 1) == tokenOfTarget(1));
    CHECK(harness.open(flowKey(2)) == tokenOfTarget(1));
}

// Scenario: one of several targets responds five times slower than the others.
TEST_CASE("TargetChooser gives a slow target fewer flows")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 3; ++number)
        harness.put(targetRecord(number));
    std::map<FlowToken, int> counts;
    for (std::uint32_t number = 0; number < 300; ++number) {
        const FlowKey key = flowKey(number);
        const auto token = harness.open(key);
        REQUIRE(token);
        ++counts[*token];
        harness.sendData(key, *token);
        harness.clock.advance(*token == tokenOfTarget(1) ? 200ms : 40ms);
        harness.send({ .key = key, .kind = PacketKind::Closing, .token = *token, .acknowledgement = 500 });
    }
    const int fairShare = 100;
    CHECK(counts[tokenOfTarget(1)] < fairShare / 2);
    CHECK(counts[tokenOfTarget(1)] > 0);
}

// Scenario: a target has just started and is still warming up while another is idle.
TEST_CASE("TargetChooser prefers warm targets to a cold one")
{
    PlacementHarness harness;
    TargetRecord cold = targetRecord(1);
    cold.coldRemaining = 2s;
    harness.put(cold);
    harness.put(targetRecord(2));
    CHECK(harness.open(flowKey(1)) == tokenOfTarget(2));
    harness.clock.advance(2s);
    harness.flows.expire(harness.clock.now());
    const auto counts = openFlows(harness, 10, 10);
    CHECK(counts.count(tokenOfTarget(1)) == 1);
}
