// FLOW: the store is down for a moment, and the entries of a few hosts that live lapse and come back. Answers to calls
// with stale_ok are seconds old, as PROTOCOL.md allows.
#include "Traffic.h"

using namespace review;

namespace {

// The page says "seconds old"; the site file has 5.5 s for stale reads.
constexpr auto staleness = 4500ms;
// Longer than two heartbeat intervals and shorter than three.
constexpr auto outage = 1700ms;
// Entries are removed after three heartbeat intervals of silence.
constexpr auto lapseTime = 3 * heartbeat;

// Hosts write to the store each heartbeat interval, each at a time of its own.
class Heartbeats {
public:
    explicit Heartbeats(World& world)
        : m_world(world)
        , m_lastBeats(world.hosts.size(), Clock::now())
    {
        for (std::size_t number = 0; number < world.hosts.size(); ++number)
            world.loop.after(heartbeat * number / world.hosts.size(),
                [this, number] { m_world.loop.every(heartbeat, [this, number] { beat(number); }); });
        world.loop.every(5ms, [this] { expire(); });
    }

    // Waits until the last beat of this host lies nearly an interval back, so that its entry lapses first.
    void waitUntilBeatIsDue(std::size_t number)
    {
        while (Clock::now() - m_lastBeats[number] < heartbeat - 40ms)
            m_world.loop.runFor(5ms);
    }

private:
    void beat(std::size_t number)
    {
        if (m_world.store.isDown())
            return;
        m_lastBeats[number] = Clock::now();
        const Host& host = *m_world.hosts[number];
        if (m_world.store.contains("servers", host.name()))
            return;
        m_world.store.put("servers", host.name(), host.spec("ready"));
        m_world.record.line("store: the entry of host %s is back", host.name().c_str());
    }
    void expire()
    {
        for (std::size_t number = 0; number < m_lastBeats.size(); ++number) {
            const std::string name = m_world.hosts[number]->name();
            if (Clock::now() - m_lastBeats[number] < lapseTime + 10ms || !m_world.store.contains("servers", name))
                continue;
            m_world.store.remove("servers", name);
            m_world.record.line("store: the entry of host %s lapses", name.c_str());
        }
    }

    World& m_world;
    std::vector<Time> m_lastBeats;
};

bool isBroken(int argc, char** argv)
{
    World world(argc, argv, 9);
    addUsualHosts(world);
    world.putConfig(usualRoutes());
    world.store.setLag(staleness);
    Heartbeats heartbeats(world);
    world.startBalancers();
    auto clients = makeClients(world);
    Bookings bookings(world, clients, 40ms);

    Time backAt = Time::max();
    std::size_t resets = 0;
    for (auto& client : clients) {
        client->onSystemReset = [&](Client::Flow& flow) {
            for (auto& host : world.hosts) {
                if (!host->holds(flow.name()))
                    continue;
                const bool inTouch = backAt != Time::max() && Clock::now() - backAt > stableWindow + measureSlack;
                resets += inTouch ? 1 : 0;
                world.record.line("client: flow %s:%u, open at host %s that lives, is reset by the system%s",
                    addressText(flow.source.address).c_str(), flow.source.port, host->name().c_str(),
                    inTouch ? "" : " (not judged: out of touch)");
            }
        };
        // Boards: long flows with a request now and then.
        for (int count = 0; count < 30; ++count)
            world.loop.after(std::chrono::milliseconds(50 * count),
                [&client = *client] { client.open(bookingAddress, 200, 100ms); });
    }
    world.loop.runFor(stableWindow + 3000ms);

    // Host 3 serves bookings and boards.
    heartbeats.waitUntilBeatIsDue(3);
    if (world.trouble) {
        world.store.setDown(true);
        world.record.line("the store is down");
    }
    world.loop.runFor(outage);
    world.store.setDown(false);
    backAt = Clock::now();
    world.record.line("the store is up");
    world.loop.runFor(9000ms);
    bookings.stop();
    world.loop.runFor(3000ms);

    bookings.report();
    world.record.line(
        "FLOW %s: balancers in touch reset %zu open flows of hosts that live", resets > 0 ? "broken" : "held", resets);
    return resets > 0;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase([&] { return isBroken(argc, argv); });
}
