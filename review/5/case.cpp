// DRAIN: the open connections to the store go silent, new ones work. Hosts leave right after.
#include "Traffic.h"

using namespace review;

namespace {

constexpr auto longer = 2300ms;

bool isBroken(int argc, char** argv)
{
    World world(argc, argv, 9);
    addUsualHosts(world, 200ms);
    world.putConfig(usualRoutes());
    world.startBalancers();
    auto clients = makeClients(world);
    Bookings bookings(world, clients, 40ms);
    world.loop.runFor(stableWindow + 3000ms);

    // A release: new hosts start first, the old ones drain then.
    for (uint32_t number = 0; number < 3; ++number)
        world.addHost("despacho", hostKey(100 + number)).setWork(200ms);
    world.loop.runFor(1000ms);
    const Time silenced = Clock::now();
    if (world.trouble)
        world.record.line("%zu open connections to the store go silent", world.store.silenceOpen());
    world.loop.runFor(300ms);
    Leavers leavers(world, longer);
    // Machines are in touch again after the stable window.
    leavers.countFrom(silenced + stableWindow);
    for (uint32_t number = 0; number < 3; ++number)
        leavers.leave(*world.hosts[number]);
    world.loop.runFor(drainBound + longer + 2000ms);
    bookings.stop();
    world.loop.runFor(3000ms);

    bookings.report();
    world.record.line("DRAIN %s: %zu new flows reached leaving hosts later than drain_ms",
        leavers.lateOpenings > 0 ? "broken" : "held", leavers.lateOpenings);
    return leavers.lateOpenings > 0;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase([&] { return isBroken(argc, argv); });
}
