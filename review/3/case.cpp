// DRAIN: the answers to calls with stale_ok are seconds old, as PROTOCOL.md allows, while hosts are replaced.
#include "Traffic.h"

using namespace review;

namespace {

// The page says "seconds old"; the site file has 5.5 s for stale reads.
constexpr auto staleness = 4500ms;
// "and a little longer (at times many seconds)".
constexpr auto longer = 1200ms;
constexpr uint32_t replaced = 6;

bool isBroken(int argc, char** argv)
{
    World world(argc, argv, 9);
    // Bookings take up to 310 ms on this site.
    addUsualHosts(world, 200ms);
    world.putConfig(usualRoutes());
    if (world.trouble)
        world.store.setLag(staleness);
    world.startBalancers();
    auto clients = makeClients(world);
    Bookings bookings(world, clients, 40ms);
    // All machines are in touch before the first host leaves.
    world.loop.runFor(stableWindow + 3000ms);
    Leavers leavers(world, longer);
    for (uint32_t number = 0; number < replaced; ++number) {
        world.addHost("despacho", hostKey(100 + number)).setWork(200ms);
        world.loop.runFor(500ms);
        leavers.leave(*world.hosts[number]);
        world.loop.runFor(500ms);
    }
    world.loop.runFor(drainBound + longer + 500ms);
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
