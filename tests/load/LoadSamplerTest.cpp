#include "LoadHarness.h"

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    std::vector<TargetLoadReport> sample() { return sampler.sample(targets.clock.now()); }
    void setResponses(std::uint64_t number, std::uint64_t responses, Duration sum)
    {
        targets.at(number).activity.responses = responses;
        targets.at(number).activity.responseTimeSum = sum;
    }
    // Records that the target has just left enough packets unanswered to be suspected.
    void suspect(std::uint64_t number)
    {
        targets.at(number).activity.suspicionLevel = suspicionThreshold;
        targets.at(number).activity.lastUnanswered = targets.clock.now();
    }

    LoadTargets targets { 4 };
    LoadSampler sampler { targets.catalogue };
};

} // namespace

// Guards against figures that are attributed to a wrong field, and against messages that grow with targets that have no
// traffic.
TEST_CASE("LoadSampler reports the targets with traffic only")
{
    Fixture fixture;
    TargetActivity& activity = fixture.targets.at(2).activity;
    activity.pendingOpenings = 2;
    activity.openFlows = 7;
    activity.requestsInProgress = 3;
    fixture.setResponses(3, 4, 200ms);
    const auto reports = fixture.sample();
    CHECK(reports.size() == 2);
    CHECK(
        entryOf(reports, 2) == TargetLoadReport { .token = tokenOfTarget(2), .openFlows = 7, .requestsInProgress = 5 });
    CHECK(entryOf(reports, 3)
        == TargetLoadReport { .token = tokenOfTarget(3), .responses = 4, .responseTimeSum = 200ms });
}

// Guards against responses that are reported again in each report, which would hide changes of a target's speed.
TEST_CASE("LoadSampler reports responses since the last sample")
{
    Fixture fixture;
    fixture.setResponses(1, 4, 200ms);
    (void)fixture.sample();
    CHECK(fixture.sample().empty());
    fixture.setResponses(1, 6, 290ms);
    const auto reports = fixture.sample();
    CHECK(entryOf(reports, 1).responses == 2);
    CHECK(entryOf(reports, 1).responseTimeSum == 90ms);
}

// Guards against a negative sum of response times, which the format turns into its greatest value, when a target that
// has started again gets more responses in a second than its last run had.
TEST_CASE("LoadSampler counts a target that has started again from 0")
{
    Fixture fixture;
    fixture.setResponses(1, 2, 4s);
    (void)fixture.sample();
    TargetRecord restarted = targetRecord(1);
    restarted.startedMs = 2000;
    fixture.targets.catalogue.put(restarted, StoreVersion(100), fixture.targets.clock.now());
    fixture.setResponses(1, 3, 150ms);
    const auto reports = fixture.sample();
    CHECK(entryOf(reports, 1).responses == 3);
    CHECK(entryOf(reports, 1).responseTimeSum == 150ms);
}

// Guards against the exclusion of a recovered target for ever: three balancers that once suspected it would each see
// two others that do, and none would send it a flow whose answer ends the suspicion.
TEST_CASE("LoadSampler reports unanswered packets for 8 s after the last one")
{
    Fixture fixture;
    fixture.suspect(1);
    CHECK(entryOf(fixture.sample(), 1).unanswered);
    fixture.targets.clock.advance(7999ms);
    CHECK(entryOf(fixture.sample(), 1).unanswered);
    fixture.targets.clock.advance(1ms);
    CHECK(fixture.sample().empty());
    fixture.suspect(1);
    CHECK(entryOf(fixture.sample(), 1).unanswered);
}

// Guards against evidence of a single lost packet.
TEST_CASE("LoadSampler does not report a target below the suspicion threshold as unanswered")
{
    Fixture fixture;
    fixture.suspect(1);
    fixture.targets.at(1).activity.suspicionLevel = suspicionThreshold - 1;
    fixture.targets.at(1).activity.openFlows = 1;
    const auto reports = fixture.sample();
    REQUIRE(reports.size() == 1);
    CHECK_FALSE(reports[0].unanswered);
}

// Guards against flows of one balancer that count twice, or for the wrong target, when two targets have the same token.
TEST_CASE("LoadSampler leaves out a target whose token belongs to another one")
{
    Fixture fixture;
    TargetRecord later = targetRecord(1);
    later.name = "i-later";
    later.startedMs = 2000;
    fixture.targets.catalogue.put(later, StoreVersion(100), fixture.targets.clock.now());
    for (Target* target : fixture.targets.catalogue.targetsOf(boardService))
        target->activity.openFlows = target->tokenCollides ? 3 : 5;
    const auto reports = fixture.sample();
    CHECK(reports.size() == 4);
    CHECK(entryOf(reports, 1).openFlows == 5);
}
