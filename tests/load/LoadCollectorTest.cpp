#include "LoadHarness.h"

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

TargetLoadReport busy(std::uint64_t number, std::uint32_t openFlows)
{
    return { .token = tokenOfTarget(number), .openFlows = openFlows };
}

TargetLoadReport silent(std::uint64_t number)
{
    return { .token = tokenOfTarget(number), .openFlows = 1, .unanswered = true };
}

TargetLoadReport answered(std::uint64_t number, std::uint32_t responses, Duration mean)
{
    return { .token = tokenOfTarget(number), .responses = responses, .responseTimeSum = mean * responses };
}

struct Fixture {
    void report(const LoadMessageHeader& header, const std::vector<TargetLoadReport>& entries)
    {
        collector.handle({ .header = header, .targets = entries }, targets.clock.now());
    }
    LoadSummary summarize() { return collector.summarize(targets.clock.now()); }
    TargetLoadSum sumOf(std::uint64_t number) { return entryOf(summarize().targets, number); }

    LoadTargets targets { 8 };
    LoadCollector collector { LoadCollectorOptions {}, targets.catalogue };
};

} // namespace

// Guards against sums that miss or mix figures.
TEST_CASE("LoadCollector sums the reports of all balancers")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 10),
        { { .token = tokenOfTarget(1),
            .openFlows = 5,
            .requestsInProgress = 2,
            .responses = 1,
            .responseTimeSum = 30ms } });
    fixture.targets.clock.advance(400ms);
    fixture.report(loadHeader(2, 3),
        { { .token = tokenOfTarget(1), .openFlows = 7, .requestsInProgress = 1, .unanswered = true }, busy(2, 9) });
    const LoadSummary summary = fixture.summarize();
    CHECK(summary.balancers == 2);
    CHECK(summary.age == 200ms);
    CHECK(summary.targets.size() == 2);
    CHECK(entryOf(summary.targets, 1)
        == TargetLoadSum { .token = tokenOfTarget(1),
            .openFlows = 12,
            .requestsInProgress = 3,
            .unansweredBalancers = 1,
            .answeredBalancers = 1,
            .responseTime = 30ms });
    CHECK(entryOf(summary.targets, 2) == TargetLoadSum { .token = tokenOfTarget(2), .openFlows = 9 });
}

// Guards against flows of a balancer that has stopped or is frozen, which would keep new flows off its targets.
TEST_CASE("LoadCollector leaves out a balancer that has not reported for 2.5 s")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 1), { busy(1, 5) });
    fixture.targets.clock.advance(2499ms);
    CHECK(fixture.sumOf(1).openFlows == 5);
    // A datagram that the network repeats is no sign of life.
    fixture.report(loadHeader(1, 1), { busy(1, 5) });
    fixture.targets.clock.advance(1ms);
    CHECK(fixture.sumOf(1).openFlows == 0);
    CHECK(fixture.summarize().balancers == 0);
}

// Guards against flows that count twice or go back when the network repeats or reorders datagrams.
TEST_CASE("LoadCollector ignores repeated parts and older reports")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 5, 1, 2), { busy(2, 3) });
    fixture.report(loadHeader(1, 5, 0, 2), { busy(1, 5) });
    fixture.report(loadHeader(1, 5, 0, 2), { busy(1, 5) });
    fixture.report(loadHeader(1, 4), { busy(1, 50) });
    CHECK(fixture.sumOf(1).openFlows == 5);
    CHECK(fixture.sumOf(2).openFlows == 3);
    CHECK(fixture.summarize().balancers == 1);
}

// Guards against a balancer that is left out for good because its new process counts from 1.
TEST_CASE("LoadCollector accepts a restarted balancer once its last report has expired")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 500), { busy(1, 5) });
    fixture.targets.clock.advance(1s);
    fixture.report(loadHeader(1, 1), { busy(1, 2) });
    CHECK(fixture.sumOf(1).openFlows == 5);
    fixture.targets.clock.advance(1500ms);
    fixture.report(loadHeader(1, 2), { busy(1, 3) });
    CHECK(fixture.sumOf(1).openFlows == 3);
}

// Guards against the loss of a report whose sequence number is, by chance, that of the last one of the process before.
TEST_CASE("LoadCollector accepts an equal sequence number after the last report has expired")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 2), { busy(1, 5) });
    fixture.targets.clock.advance(2500ms);
    fixture.report(loadHeader(1, 2), { busy(1, 3) });
    CHECK(fixture.sumOf(1).openFlows == 3);
}

// Guards against a balancer with a broken network that excludes all targets for the others.
TEST_CASE("A report in which more than half of the targets are silent gives no evidence")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 1), { silent(1), silent(2), silent(3), busy(4, 1) });
    const LoadSummary summary = fixture.summarize();
    CHECK(entryOf(summary.targets, 1).unansweredBalancers == 0);
    CHECK(entryOf(summary.targets, 1).openFlows == 1);
    // Half of the targets is not more than half, and three targets are too few to tell.
    fixture.report(loadHeader(2, 1), { silent(1), silent(2), busy(3, 1), busy(4, 1) });
    fixture.report(loadHeader(3, 1), { silent(1), silent(2), silent(3) });
    CHECK(fixture.sumOf(1).unansweredBalancers == 2);
    CHECK(fixture.sumOf(3).unansweredBalancers == 1);
}

// Guards against one balancer that counts as several by naming a target more than once, in one part or in two.
TEST_CASE("A balancer counts once as evidence against a target")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 1, 0, 2), { silent(1), silent(1), busy(2, 1), busy(3, 1), busy(4, 1) });
    fixture.report(loadHeader(1, 1, 1, 2), { silent(1) });
    CHECK(fixture.sumOf(1).unansweredBalancers == 1);
    CHECK(fixture.sumOf(1).openFlows == 1);
}

// Guards against sums that wrap around and make the most loaded target look idle.
TEST_CASE("LoadCollector limits sums to the bounds of the format")
{
    Fixture fixture;
    for (std::uint32_t balancer = 1; balancer <= 500; ++balancer)
        fixture.report(loadHeader(balancer, 1), { busy(1, 10'000'000) });
    CHECK(fixture.sumOf(1).openFlows == 10'000'000);
}

// Guards against a response time that is dominated by the reports that were summed most often.
TEST_CASE("LoadCollector counts the response times of a report once")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 1), { answered(1, 10, 40ms) });
    CHECK(fixture.sumOf(1).responseTime == 40ms);
    fixture.report(loadHeader(1, 2), { answered(1, 10, 80ms) });
    // Ten responses weigh as much as the average so far.
    CHECK(fixture.sumOf(1).responseTime == 60ms);
    CHECK(fixture.sumOf(1).responseTime == 60ms);
}

// Guards against response times that are lost when two reports, or the parts of one, arrive on both sides of a summary
// or between two summaries.
TEST_CASE("LoadCollector counts the response times of each part of each report")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 1), { answered(1, 10, 40ms) });
    fixture.report(loadHeader(1, 2, 0, 2), { answered(1, 10, 80ms) });
    CHECK(fixture.sumOf(1).responseTime == 60ms);
    fixture.report(loadHeader(1, 2, 1, 2), { answered(2, 5, 30ms) });
    CHECK(fixture.sumOf(2).responseTime == 30ms);
}

// Guards against the loss of the learnt speeds when a collector stops.
TEST_CASE("A new collector continues from the response times of the last summary")
{
    Fixture fixture;
    fixture.targets.at(1).shared.responseTime = 100ms;
    fixture.targets.at(2).shared.responseTime = 70ms;
    fixture.report(loadHeader(1, 1), { answered(1, 10, 200ms), busy(2, 1) });
    CHECK(fixture.sumOf(1).responseTime == 150ms);
    CHECK(fixture.sumOf(2).responseTime == 70ms);
}

// Guards against the loss of the learnt speed of a target that has no flows when a balancer starts or a collector
// takes over.
TEST_CASE("LoadCollector includes the response time of a target without traffic")
{
    Fixture fixture;
    fixture.targets.at(2).shared.responseTime = 70ms;
    fixture.report(loadHeader(1, 1), { answered(1, 10, 40ms) });
    fixture.targets.clock.advance(3s);
    fixture.report(loadHeader(1, 4), { busy(3, 1) });
    const LoadSummary summary = fixture.summarize();
    CHECK(entryOf(summary.targets, 1) == TargetLoadSum { .token = tokenOfTarget(1), .responseTime = 40ms });
    CHECK(entryOf(summary.targets, 2) == TargetLoadSum { .token = tokenOfTarget(2), .responseTime = 70ms });
    CHECK(summary.targets.size() == 3);
}

// Guards against memory and message space for targets that do not exist.
TEST_CASE("LoadCollector leaves out targets that it does not know")
{
    Fixture fixture;
    fixture.report(loadHeader(1, 1), { busy(1, 5), busy(99, 5) });
    const LoadSummary summary = fixture.summarize();
    REQUIRE(summary.targets.size() == 1);
    CHECK(summary.targets[0].token == tokenOfTarget(1));
    CHECK(summary.balancers == 1);
}

// Guards against memory that grows with forged names of senders.
TEST_CASE("LoadCollector accepts a limited number of balancers")
{
    LoadTargets targets(1);
    LoadCollector collector({ .maxReporters = 2 }, targets.catalogue);
    for (std::uint32_t balancer = 1; balancer <= 3; ++balancer)
        collector.handle({ .header = loadHeader(balancer, 1), .targets = { busy(1, 1) } }, targets.clock.now());
    CHECK(collector.summarize(targets.clock.now()).balancers == 2);
    // Their places are free again once their reports have expired.
    targets.clock.advance(2500ms);
    (void)collector.summarize(targets.clock.now());
    collector.handle({ .header = loadHeader(3, 2), .targets = { busy(1, 1) } }, targets.clock.now());
    CHECK(collector.summarize(targets.clock.now()).balancers == 1);
}
