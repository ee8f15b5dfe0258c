#include "Promises.h"

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::soak;
using namespace std::chrono_literals;

namespace {

const ServiceName board { "board" };
const FlowKey flow { .source = { 1 }, .destination = { 2 }, .sourcePort = 3, .destinationPort = 4 };
constexpr HostRun host(1);
constexpr HostRun otherHost(2);
constexpr BalancerRun balancer(1);

struct Fixture {
    SoakTime start { 1000s };
    // Later than any stable window after the start.
    SoakTime calm = start + 20s;
    Promises promises { PromiseBounds {}, start };

    Fixture() { promises.noteDisturbed(balancer, start); }
    bool broken(Promise promise) const
    {
        return promises.breaches().size() == 1 && promises.breaches()[0].promise == promise;
    }
};

} // namespace

// Each check must fire, or the soak proves nothing.
TEST_CASE("Promises: a reset of an open flow by a balancer is a breach while its host lives")
{
    Fixture fixture;
    fixture.promises.flowReset(flow, fixture.calm);
    CHECK(fixture.promises.breaches().empty());
    fixture.promises.flowOpened(flow, host);
    fixture.promises.flowReset(flow, fixture.calm);
    CHECK(fixture.broken(Promise::FlowKept));

    Fixture ended;
    ended.promises.flowOpened(flow, host);
    ended.promises.hostEnded(host);
    ended.promises.flowReset(flow, ended.calm);
    CHECK(ended.promises.breaches().empty());
}

TEST_CASE("Promises: a packet of an open flow at another host is a breach")
{
    Fixture fixture;
    fixture.promises.flowOpened(flow, host);
    fixture.promises.packetArrived(flow, host, fixture.calm);
    CHECK(fixture.promises.breaches().empty());
    fixture.promises.packetArrived(flow, otherHost, fixture.calm);
    CHECK(fixture.broken(Promise::FlowOnItsHost));
}

TEST_CASE("Promises: a request that runs at another service is a breach")
{
    Fixture fixture;
    fixture.promises.requestSent(7, board, true);
    fixture.promises.requestRan(7, ServiceName("photos"), fixture.calm);
    CHECK(fixture.broken(Promise::RightService));
}

TEST_CASE("Promises: a request that may run once and runs twice is a breach")
{
    Fixture fixture;
    fixture.promises.requestSent(7, board, true);
    fixture.promises.requestRan(7, board, fixture.calm);
    fixture.promises.requestRan(7, board, fixture.calm);
    CHECK(fixture.promises.breaches().empty());
    fixture.promises.requestSent(8, board, false);
    fixture.promises.requestRan(8, board, fixture.calm);
    fixture.promises.requestRan(8, board, fixture.calm);
    CHECK(fixture.broken(Promise::RunsOnce));
}

TEST_CASE("Promises: a refused request that runs before or after is a breach")
{
    Fixture after;
    after.promises.requestSent(7, board, true);
    after.promises.openingRefused(7, after.calm);
    after.promises.requestRan(7, board, after.calm);
    CHECK(after.broken(Promise::RefusedNotRun));
    Fixture before;
    before.promises.requestSent(7, board, true);
    before.promises.requestRan(7, board, before.calm);
    before.promises.openingRefused(7, before.calm);
    CHECK(before.broken(Promise::RefusedNotRun));
}

TEST_CASE("Promises: packets that nobody sent so, and answers to others, are breaches")
{
    Fixture unknown;
    unknown.promises.requestRan(7, board, unknown.calm);
    CHECK(unknown.broken(Promise::PacketsUnchanged));
    Fixture changed;
    changed.promises.packetChanged("host", changed.calm);
    CHECK(changed.broken(Promise::PacketsUnchanged));
    Fixture crossed;
    crossed.promises.wrongAnswer(7, crossed.calm);
    CHECK(crossed.broken(Promise::PacketsUnchanged));
}

TEST_CASE("Promises: a new flow at a draining host is a breach after the bound, by a balancer in touch")
{
    Fixture fixture;
    fixture.promises.hostDrains(host, fixture.calm);
    fixture.promises.openingArrived(host, balancer, fixture.calm + 3000ms);
    CHECK(fixture.promises.breaches().empty());
    fixture.promises.openingArrived(host, balancer, fixture.calm + 3001ms);
    CHECK(fixture.broken(Promise::DrainBound));

    Fixture disturbed;
    disturbed.promises.hostDrains(host, disturbed.calm);
    disturbed.promises.noteStoreDisturbed(disturbed.calm);
    disturbed.promises.openingArrived(host, balancer, disturbed.calm + 3001ms);
    CHECK(disturbed.promises.breaches().empty());
}

TEST_CASE("Promises: an added port that is refused, or a dropped one that is served, is a breach after the bound")
{
    Fixture refused;
    refused.promises.configAccepted(ConfigVersion(5), 100, 0, refused.calm);
    refused.promises.portRefused(100, balancer, refused.calm + 3000ms, refused.calm + 3010ms);
    CHECK(refused.promises.breaches().empty());
    refused.promises.portRefused(100, balancer, refused.calm + 3001ms, refused.calm + 3010ms);
    CHECK(refused.broken(Promise::ConfigBound));

    Fixture served;
    served.promises.configAccepted(ConfigVersion(5), 100, 0, served.start);
    served.promises.configAccepted(ConfigVersion(6), 101, 100, served.calm);
    served.promises.portForwarded(100, balancer, served.calm + 2000ms, served.calm + 2010ms);
    CHECK(served.promises.breaches().empty());
    served.promises.portForwarded(100, balancer, served.calm + 3001ms, served.calm + 3010ms);
    CHECK(served.broken(Promise::ConfigBound));
}

TEST_CASE("Promises: a balancer that falls back to an older configuration is a breach at once")
{
    Fixture fixture;
    fixture.promises.configAccepted(ConfigVersion(5), 100, 0, fixture.calm);
    fixture.promises.portForwarded(100, balancer, fixture.calm + 50ms, fixture.calm + 60ms);
    fixture.promises.portRefused(100, balancer, fixture.calm + 200ms, fixture.calm + 210ms);
    CHECK(fixture.promises.breaches().empty());
    fixture.promises.portRefused(100, balancer, fixture.calm + 400ms, fixture.calm + 410ms);
    CHECK(fixture.broken(Promise::ConfigRises));
}

TEST_CASE("Promises: an end of a balancer by itself, and a request without answer after the recovery, are breaches")
{
    Fixture ended;
    ended.promises.balancerEnded("balancer-1", "signal 6", ended.calm);
    CHECK(ended.broken(Promise::BalancersRun));
    Fixture unanswered;
    unanswered.promises.unanswered(7, unanswered.calm);
    CHECK(unanswered.broken(Promise::Recovery));
}
