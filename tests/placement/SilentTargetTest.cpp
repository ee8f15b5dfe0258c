#include <anvilwalk/placement.h>
#include <fakes/PlacementHarness.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

// Sets what others reported of a target, in a summary of twenty balancers that has just arrived.
void setShared(PlacementHarness& harness, std::uint64_t number, const SharedTargetLoad& shared)
{
    harness.targets.find(tokenOfTarget(number))->shared = shared;
    harness.targets.setSharedLoad({ .fresh = true, .balancers = 20, .takenAt = harness.clock.now() });
}

// Opens flows that carry one request and end after the work time.
std::uint64_t countFlowsTo(PlacementHarness& harness, std::uint64_t number, std::uint32_t flows = 200)
{
    std::uint64_t count = 0;
    for (std::uint32_t flow = 0; flow < flows; ++flow) {
        const FlowKey key = flowKey(flow);
        const auto token = harness.open(key);
        count += token == tokenOfTarget(number) ? 1 : 0;
        harness.sendData(key, *token);
        harness.clock.advance(5ms);
        harness.send({ .key = key, .kind = PacketKind::Closing, .token = *token, .acknowledgement = 500 });
    }
    return count;
}

} // namespace

// Guards against new flows to a silent target until this balancer has lost some itself, and against a single faulty
// balancer that excludes targets for all.
TEST_CASE("TargetChooser avoids a target that several other balancers report as silent")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 3; ++number)
        harness.put(targetRecord(number));
    setShared(harness, 3, { .unansweredBalancers = 2 });
    CHECK(countFlowsTo(harness, 3) == 0);
    setShared(harness, 3, { .unansweredBalancers = 19 });
    CHECK(countFlowsTo(harness, 3) == 0);
    setShared(harness, 3, { .unansweredBalancers = 1 });
    CHECK(countFlowsTo(harness, 3) > 30);
    // It answers most of them.
    setShared(harness, 3, { .unansweredBalancers = 3, .answeredBalancers = 4 });
    CHECK(countFlowsTo(harness, 3) > 30);
}

// Guards against refusals because the evidence is against all targets.
TEST_CASE("TargetChooser chooses a silent target if all are reported as silent")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        harness.put(targetRecord(number));
        setShared(harness, number, { .unansweredBalancers = 10 });
    }
    for (std::uint64_t number = 1; number <= 3; ++number)
        CHECK(countFlowsTo(harness, number) > 30);
}

// Guards against a choice by the loads of a summary, which are those of requests that have ended: flows then meet at
// the targets that were idle when the reports were made.
TEST_CASE("TargetChooser chooses by the load of its own flows, whatever the summary says")
{
    PlacementHarness alone;
    PlacementHarness summarized;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        alone.put(targetRecord(number));
        summarized.put(targetRecord(number));
        const auto busy = static_cast<std::uint32_t>(10 * number);
        setShared(summarized, number, { .requestsInProgress = busy, .responseTime = number * 50ms });
    }
    for (std::uint32_t number = 0; number < 500; ++number) {
        const FlowKey key = flowKey(number);
        const auto token = alone.open(key);
        REQUIRE(token == summarized.open(key));
        for (PlacementHarness* harness : { &alone, &summarized }) {
            harness->sendData(key, *token);
            harness->clock.advance(7ms);
            if (number % 3 != 0)
                harness->send({ .key = key, .kind = PacketKind::Closing, .token = *token, .acknowledgement = 500 });
        }
    }
}

// Guards against the division by a data centre without targets, balancers or response times.
TEST_CASE("TargetChooser chooses with a summary that is empty")
{
    PlacementHarness harness;
    harness.targets.setSharedLoad({ .fresh = true, .balancers = 1, .takenAt = harness.clock.now() });
    CHECK_FALSE(harness.open(flowKey(1)));
    harness.put(targetRecord(1, boardService, "lima-b"));
    CHECK(harness.open(flowKey(1)) == tokenOfTarget(1));
}
