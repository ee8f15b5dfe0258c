// FLOW: configurations that add routes come in quick succession while balancers are stopped and started in turn.
#include "Traffic.h"

using namespace review;

namespace {

// As in the site file: config_storm for 4 s, a change each 0.33 s; roll_term one at a time, each 1.3 s.
constexpr auto stormTime = 4000ms;
constexpr auto stormGap = 330ms;
constexpr auto rollGap = 1300ms;
// Flows that each zone's clients open over a new route.
constexpr int flowsPerRoute = 6;
// Each balancer is stopped this often.
constexpr std::size_t rounds = 2;
constexpr int storms = 5;

Endpoint addedAddress(uint32_t number) { return { 198U << 24U | 18U << 16U | 1U << 8U | number, 9000 }; }

class Callers {
public:
    std::size_t opened = 0;
    std::size_t resets = 0;

    Callers(World& world, std::vector<std::unique_ptr<Client>>& clients)
        : m_world(world)
    {
        for (auto& client : clients)
            client->onSystemReset = [this](Client::Flow& flow) { judge(flow); };
    }
    // Long flows over a route, opened soon after the route was acknowledged.
    void use(Client& client, const Endpoint& address, int tries = 5)
    {
        client.open(address, 30, 50ms, std::nullopt, [this, &client, address, tries](Client::Flow& flow, Client::End) {
            if (flow.open)
                ++opened;
            else if (tries > 1)
                m_world.loop.after(100ms, [this, &client, address, tries] { use(client, address, tries - 1); });
        });
    }

private:
    void judge(const Client::Flow& flow)
    {
        for (auto& host : m_world.hosts) {
            if (!host->holds(flow.name()))
                continue;
            ++resets;
            m_world.record.line(
                "client: flow %s:%u to %s is reset by the system %.3f s after its opening, request %s in progress; "
                "host %s lives and holds the flow",
                addressText(flow.source.address).c_str(), flow.source.port, text(flow.service).c_str(),
                std::chrono::duration<double>(Clock::now() - flow.sentAt).count(), flow.id.c_str(),
                host->name().c_str());
        }
    }

    World& m_world;
};

bool isBroken(int argc, char** argv)
{
    World world(argc, argv, 9);
    addUsualHosts(world);
    std::vector<RouteLine> routes = usualRoutes();
    world.putConfig(routes);
    world.startBalancers();
    auto clients = makeClients(world);
    Callers callers(world, clients);
    world.loop.runFor(stableWindow + 2000ms);

    if (world.trouble) {
        const std::size_t count = world.balancers.size();
        for (std::size_t stop = 0; stop < rounds * count; ++stop)
            world.loop.after(rollGap * stop, [&world, number = stop % count] {
                world.record.line("%s gets SIGTERM", world.balancers[number]->name().c_str());
                world.balancers[number]->terminate();
            });
    }
    uint32_t added = 0;
    for (int storm = 0; storm < storms; ++storm) {
        const Time end = Clock::now() + stormTime;
        while (Clock::now() < end) {
            const Endpoint address = addedAddress(++added);
            routes.push_back({ "r-added-" + std::to_string(added), address, "despacho", "unsafe" });
            world.putConfig(routes);
            for (auto& client : clients) {
                for (int count = 0; count < flowsPerRoute; ++count)
                    world.loop.after(std::chrono::milliseconds(20 + 50 * count),
                        [&callers, &client = *client, address] { callers.use(client, address); });
            }
            world.loop.runFor(stormGap);
        }
        world.loop.runFor(500ms);
    }
    world.loop.runFor(6000ms);
    world.record.line("FLOW %s: %zu of %zu open flows were reset though their hosts lived and their routes existed",
        callers.resets > 0 ? "broken" : "held", callers.resets, callers.opened);
    return callers.resets > 0;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase([&] { return isBroken(argc, argv); });
}
