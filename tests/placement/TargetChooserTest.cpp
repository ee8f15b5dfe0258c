#include <anvilwalk/placement.h>
#include <fakes/PlacementScene.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

std::map<FlowToken, int> openFlows(PlacementScene& scene, std::uint32_t from, std::uint32_t count)
{
    std::map<FlowToken, int> counts;
    for (std::uint32_t number = from; number < from + count; ++number) {
        const auto token = scene.open(flowKey(number));
        REQUIRE(token);
        scene.sendData(flowKey(number), *token);
        ++counts[*token];
    }
    return counts;
}

} // namespace

// Scenario: many long-lived flows are opened one after another.
TEST_CASE("TargetChooser distributes long-lived flows evenly over the targets")
{
    PlacementScene scene;
    for (std::uint64_t number = 1; number <= 5; ++number)
        scene.put(targetRecord(number));
    const auto counts = openFlows(scene, 0, 100);
    REQUIRE(counts.size() == 5);
    for (const auto& [token, count] : counts)
        CHECK(count == 20);
}

TEST_CASE("TargetChooser prefers targets of its own data centre until they are loaded")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    scene.put(targetRecord(2, boardService, "lima-b"));
    CHECK(scene.open(flowKey(1)) == tokenOfTarget(1));
    // Once enough requests are in progress at the local target, the remote one is less loaded despite its penalty.
    const auto counts = openFlows(scene, 10, 40);
    CHECK(counts.count(tokenOfTarget(2)) == 1);
}

// Scenario: a target stops responding while the store still lists it.
TEST_CASE("TargetChooser avoids a target that does not respond to opening packets, and retries it later")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    scene.put(targetRecord(2));
    FlowKey unanswered;
    for (std::uint32_t number = 1;; ++number) {
        unanswered = flowKey(number);
        const auto token = scene.open(unanswered);
        if (token == tokenOfTarget(1))
            break;
        scene.sendData(unanswered, *token);
    }
    scene.clock.advance(200ms);
    CHECK(scene.open(unanswered, 1) == tokenOfTarget(2));
    for (std::uint32_t number = 100; number < 150; ++number)
        CHECK(scene.open(flowKey(number)) == tokenOfTarget(2));
    scene.clock.advance(5s);
    scene.flows.expire(scene.clock.now());
    const auto counts = openFlows(scene, 200, 20);
    CHECK(counts.count(tokenOfTarget(1)) == 1);
}

// Scenario: a target that has been down for seconds has no load, so that after the backoff time every new flow would go
// there.
TEST_CASE("TargetChooser probes a suspected target with one flow at a time")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    FlowKey first = flowKey(1);
    scene.open(first);
    scene.clock.advance(200ms);
    scene.open(first, 1);
    for (std::uint64_t number = 2; number <= 4; ++number)
        scene.put(targetRecord(number));
    scene.clock.advance(4s);
    scene.flows.expire(scene.clock.now());
    int trials = 0;
    for (std::uint32_t number = 100; number < 130; ++number) {
        const auto token = scene.open(flowKey(number));
        trials += token == tokenOfTarget(1) ? 1 : 0;
        if (token != tokenOfTarget(1))
            scene.sendData(flowKey(number), *token);
    }
    CHECK(trials == 1);
}

TEST_CASE("TargetChooser uses a suspected target when there is no other")
{
    PlacementScene scene;
    scene.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    CHECK(scene.open(key) == tokenOfTarget(1));
    scene.clock.advance(200ms);
    CHECK(scene.open(key, 1) == tokenOfTarget(1));
    CHECK(scene.open(flowKey(2)) == tokenOfTarget(1));
}

// Scenario: one of several targets responds five times slower than the others.
TEST_CASE("TargetChooser gives a slow target fewer flows")
{
    PlacementScene scene;
    for (std::uint64_t number = 1; number <= 3; ++number)
        scene.put(targetRecord(number));
    std::map<FlowToken, int> counts;
    for (std::uint32_t number = 0; number < 300; ++number) {
        const FlowKey key = flowKey(number);
        const auto token = scene.open(key);
        REQUIRE(token);
        ++counts[*token];
        scene.sendData(key, *token);
        scene.clock.advance(*token == tokenOfTarget(1) ? 200ms : 40ms);
        scene.send({ .key = key, .kind = PacketKind::Closing, .token = *token, .acknowledgement = 500 });
    }
    const int fair = 100;
    CHECK(counts[tokenOfTarget(1)] < fair / 2);
    CHECK(counts[tokenOfTarget(1)] > 0);
}

// Scenario: a target has just started and is still warming up while another is idle.
TEST_CASE("TargetChooser prefers warm targets to a cold one")
{
    PlacementScene scene;
    TargetRecord cold = targetRecord(1);
    cold.coldRemaining = 2s;
    scene.put(cold);
    scene.put(targetRecord(2));
    CHECK(scene.open(flowKey(1)) == tokenOfTarget(2));
    scene.clock.advance(2s);
    scene.flows.expire(scene.clock.now());
    const auto counts = openFlows(scene, 10, 10);
    CHECK(counts.count(tokenOfTarget(1)) == 1);
}
