#include "LoadHarness.h"

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

TargetLoadSum busy(std::uint64_t number, std::uint32_t openFlows)
{
    return { .token = tokenOfTarget(number), .openFlows = openFlows };
}

struct Fixture {
    void summary(const LoadMessageHeader& header, std::uint32_t balancers, const std::vector<TargetLoadSum>& sums,
        Duration age = 500ms)
    {
        shared.handle({ .header = header, .age = age, .balancers = balancers, .targets = sums }, targets.clock.now());
    }
    std::uint32_t openFlows(std::uint64_t number) { return targets.at(number).shared.openFlows; }

    LoadTargets targets { 4 };
    SharedLoad shared { SharedLoadOptions {}, targets.catalogue };
};

} // namespace

// Guards against own flows that count twice, because the chooser adds the own flows that it knows exactly.
TEST_CASE("SharedLoad subtracts this balancer's last report")
{
    Fixture fixture;
    fixture.shared.recordOwnReport({ { .token = tokenOfTarget(1),
                                         .openFlows = 4,
                                         .requestsInProgress = 2,
                                         .responses = 9,
                                         .responseTimeSum = 1s,
                                         .unanswered = true },
        { .token = tokenOfTarget(2), .openFlows = 4 } });
    fixture.summary(loadHeader(1, 1), 3,
        { { .token = tokenOfTarget(1),
              .openFlows = 10,
              .requestsInProgress = 5,
              .unansweredBalancers = 2,
              .answeredBalancers = 3,
              .responseTime = 40ms },
            // The collector's sum is of an earlier time.
            busy(2, 3), busy(3, 6) });
    const SharedTargetLoad& load = fixture.targets.at(1).shared;
    CHECK(load.openFlows == 6);
    CHECK(load.requestsInProgress == 3);
    CHECK(load.unansweredBalancers == 1);
    CHECK(load.answeredBalancers == 2);
    CHECK(load.responseTime == 40ms);
    CHECK(fixture.openFlows(2) == 0);
    CHECK(fixture.openFlows(3) == 6);
    CHECK(fixture.shared.status().fresh);
    CHECK(fixture.shared.status().balancers == 3);
    CHECK(fixture.shared.status().takenAt == fixture.targets.clock.now() - 500ms);
}

// Guards against flows that are still counted after they have ended.
TEST_CASE("A complete summary clears the targets that it does not hold, but for their response times")
{
    Fixture fixture;
    fixture.summary(
        loadHeader(1, 1), 3, { { .token = tokenOfTarget(1), .openFlows = 5, .responseTime = 40ms }, busy(2, 6) });
    fixture.targets.clock.advance(1s);
    fixture.summary(loadHeader(1, 2), 3, { busy(2, 7) });
    CHECK(fixture.openFlows(1) == 0);
    CHECK(fixture.targets.at(1).shared.responseTime == 40ms);
    CHECK(fixture.openFlows(2) == 7);
}

// Guards against the loss of a learnt speed by a collector that does not know it yet.
TEST_CASE("A summary without the response time of a target leaves the known one")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 1), 3, { { .token = tokenOfTarget(1), .openFlows = 5, .responseTime = 40ms } });
    fixture.targets.clock.advance(1s);
    fixture.summary(loadHeader(1, 2), 3, { busy(1, 6) });
    CHECK(fixture.targets.at(1).shared.responseTime == 40ms);
}

// Guards against targets that look idle, and draw all new flows, because their part of a summary was lost; and against
// parts that have arrived but are not used.
TEST_CASE("The parts of a summary that arrive count, and targets in lost parts keep their figures")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 1), 3, { busy(1, 5), busy(2, 6) });
    fixture.targets.clock.advance(1s);
    fixture.summary(loadHeader(1, 2, 0, 2), 3, { busy(1, 8) });
    CHECK(fixture.openFlows(1) == 8);
    CHECK(fixture.openFlows(2) == 6);
    fixture.targets.clock.advance(1s);
    fixture.summary(loadHeader(1, 3, 1, 2), 3, { busy(1, 9) });
    CHECK(fixture.openFlows(1) == 9);
    CHECK(fixture.openFlows(2) == 6);
    // The figures of a target whose parts are always lost expire like a summary.
    fixture.targets.clock.advance(1999ms);
    fixture.summary(loadHeader(1, 4, 1, 2), 3, { busy(1, 9) });
    fixture.shared.expire(fixture.targets.clock.now());
    CHECK(fixture.openFlows(2) == 6);
    fixture.targets.clock.advance(2ms);
    fixture.shared.expire(fixture.targets.clock.now());
    CHECK(fixture.openFlows(1) == 9);
    CHECK(fixture.openFlows(2) == 0);
}

// Guards against sums that are taken back by datagrams that the network repeats or reorders.
TEST_CASE("SharedLoad ignores repeated parts and older summaries")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 2, 1, 2), 3, { busy(2, 6) });
    fixture.summary(loadHeader(1, 2, 0, 2), 3, { busy(1, 5) });
    fixture.summary(loadHeader(1, 2, 0, 2), 3, { busy(1, 50) });
    fixture.summary(loadHeader(1, 1), 3, { busy(1, 60) });
    CHECK(fixture.openFlows(1) == 5);
    CHECK(fixture.openFlows(2) == 6);
}

// Guards against half a summary, when the parts of two collectors arrive in turns.
TEST_CASE("Parts of two collectors that arrive in turns leave no target without figures")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 7, 0, 2), 3, { busy(1, 5), busy(2, 5) });
    fixture.summary(loadHeader(2, 9, 0, 2), 4, { busy(1, 6), busy(2, 6) });
    fixture.summary(loadHeader(1, 7, 1, 2), 3, { busy(3, 5) });
    fixture.summary(loadHeader(2, 9, 1, 2), 4, { busy(3, 6) });
    CHECK(fixture.openFlows(1) == 6);
    CHECK(fixture.openFlows(2) == 6);
    CHECK(fixture.openFlows(3) == 6);
    CHECK(fixture.shared.status().balancers == 4);
}

// Guards against a gap when a collector is lost.
TEST_CASE("The other collector's summary is used 1.5 s after the last one")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 100), 28, { busy(1, 5) });
    fixture.targets.clock.advance(1499ms);
    fixture.summary(loadHeader(2, 3), 27, { busy(1, 7) });
    CHECK(fixture.openFlows(1) == 5);
    fixture.targets.clock.advance(1ms);
    fixture.summary(loadHeader(2, 4), 27, { busy(1, 8) });
    CHECK(fixture.openFlows(1) == 8);
    CHECK(fixture.shared.status().balancers == 27);
    // The first collector returns and covers more balancers.
    fixture.summary(loadHeader(1, 101), 28, { busy(1, 9) });
    CHECK(fixture.openFlows(1) == 9);
}

// Guards against a member that has just started, or is partly cut off, and takes itself for a collector: its small sums
// would replace the complete ones for the rest of each second.
TEST_CASE("A summary that covers fewer balancers is not used between two summaries of the other collector")
{
    Fixture fixture;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        fixture.summary(loadHeader(1, sequence), 28, { busy(1, 50) }, 700ms);
        fixture.targets.clock.advance(900ms);
        fixture.summary(loadHeader(2, sequence), 1, {}, 0ms);
        CHECK(fixture.openFlows(1) == 50);
        CHECK(fixture.shared.status().balancers == 28);
        fixture.targets.clock.advance(100ms);
    }
}

// Guards against the sums of a new collector, which has few reports at first, at a balancer that has lost one summary
// of the other collector.
TEST_CASE("A summary that covers much fewer balancers is used only once the figures are unknown")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 1), 28, { busy(1, 50) });
    fixture.targets.clock.advance(1600ms);
    fixture.summary(loadHeader(2, 1), 20, { busy(1, 30) });
    CHECK(fixture.openFlows(1) == 50);
    fixture.summary(loadHeader(2, 2), 21, { busy(1, 40) });
    CHECK(fixture.openFlows(1) == 40);
    // A collector whose own sums shrink is followed.
    fixture.targets.clock.advance(1s);
    fixture.summary(loadHeader(2, 3), 5, { busy(1, 10) });
    CHECK(fixture.openFlows(1) == 10);
    fixture.targets.clock.advance(3500ms);
    fixture.shared.expire(fixture.targets.clock.now());
    fixture.summary(loadHeader(3, 1), 1, { busy(1, 2) });
    CHECK(fixture.openFlows(1) == 2);
}

// Guards against choices by outdated figures, when both collectors are lost.
TEST_CASE("The figures are unknown once the reports of the last summary are 4 s old")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 1), 3, { { .token = tokenOfTarget(1), .openFlows = 5, .responseTime = 40ms } });
    fixture.targets.clock.advance(3499ms);
    fixture.shared.expire(fixture.targets.clock.now());
    CHECK(fixture.shared.status().fresh);
    CHECK(fixture.openFlows(1) == 5);
    fixture.targets.clock.advance(1ms);
    fixture.shared.expire(fixture.targets.clock.now());
    CHECK_FALSE(fixture.shared.status().fresh);
    CHECK(fixture.shared.status().balancers == 1);
    CHECK(fixture.openFlows(1) == 0);
    CHECK(fixture.targets.at(1).shared.responseTime == 40ms);
    // Any summary is used then, also of a collector that has started again.
    fixture.summary(loadHeader(1, 1), 2, { busy(1, 3) });
    CHECK(fixture.shared.status().fresh);
    CHECK(fixture.openFlows(1) == 3);
}

// Guards against figures that are out of date already or of nobody.
TEST_CASE("SharedLoad ignores summaries that are too old or cover no balancer")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 1), 3, { busy(1, 5) }, 4s);
    fixture.summary(loadHeader(1, 2), 0, { busy(1, 5) });
    CHECK_FALSE(fixture.shared.status().fresh);
    CHECK(fixture.openFlows(1) == 0);
}

// Guards against a crash on a target that the store has not shown to this balancer yet.
TEST_CASE("SharedLoad leaves out targets that it does not know")
{
    Fixture fixture;
    fixture.summary(loadHeader(1, 1), 3, { busy(99, 5), busy(1, 4) });
    CHECK(fixture.openFlows(1) == 4);
}
