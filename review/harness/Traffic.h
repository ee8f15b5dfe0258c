// Services, routes and traffic like those of the site cordeles-hq, at a smaller rate.
#pragma once

#include "World.h"

namespace review {

inline const Endpoint bookingAddress { 198U << 24U | 18U << 16U | 1U, 8080 };
inline const Endpoint photoAddress { 198U << 24U | 18U << 16U | 2U, 8443 };

inline std::vector<RouteLine> usualRoutes()
{
    return { { "r-booking", bookingAddress, "despacho", "unsafe" }, { "r-photo", photoAddress, "fotos", "upload" } };
}

// Bookings of all zones: a flow for each, none of them may run twice.
class Bookings {
public:
    std::size_t sent = 0;
    std::size_t answered = 0;
    // The flow was open and the booking sent, and no answer came: the client may not send it again.
    std::size_t unanswered = 0;

    Bookings(World& world, std::vector<std::unique_ptr<Client>>& clients, std::chrono::milliseconds interval)
        : m_world(world)
    {
        for (auto& client : clients)
            world.loop.every(interval, [this, &client = *client] {
                if (!m_stopped)
                    book(client);
            });
    }
    void stop() { m_stopped = true; }
    void report()
    {
        m_world.record.line("bookings: %zu sent, %zu answered, %zu sent on an open flow and never answered", sent,
            answered, unanswered);
    }

private:
    void book(Client& client)
    {
        ++sent;
        client.open(bookingAddress, 1, 0ms, std::nullopt, [this](Client::Flow& flow, Client::End how) {
            if (how == Client::End::Finished) {
                ++answered;
            } else if (how != Client::End::NotOpened && flow.open) {
                ++unanswered;
                m_world.record.line("client: booking %s was sent and has no answer", flow.id.c_str());
            }
        });
    }

    World& m_world;
    bool m_stopped = false;
};

// A client in each zone.
inline std::vector<std::unique_ptr<Client>> makeClients(World& world)
{
    std::vector<std::unique_ptr<Client>> clients;
    for (uint32_t place = 0; place < 3; ++place)
        clients.push_back(std::make_unique<Client>(
            world.loop, world.network, *world.routers, world.balancers, place, World::zoneOf(place)));
    return clients;
}

// Keys of hosts, as in i-7f3a91c2.
inline uint64_t hostKey(uint32_t number) { return 0x7f3a9100U + 977U * number; }

// 14 hosts for bookings and 4 for photos.
inline void addUsualHosts(World& world, std::chrono::milliseconds work = 52ms)
{
    for (uint32_t number = 0; number < 14; ++number)
        world.addHost("despacho", hostKey(number)).setWork(work);
    for (uint32_t number = 14; number < 18; ++number)
        world.addHost("fotos", hostKey(number)).setWork(5ms);
}

// Hosts that leave as the pages say: each reports that it drains, serves for drain_ms after the store has accepted that
// and a little longer, and exits. Counts the new flows that reach them too late.
class Leavers {
public:
    std::size_t lateOpenings = 0;

    // Openings count from the given time on, if that is later than the bound of drain_ms.
    Leavers(World& world, std::chrono::milliseconds longer)
        : m_world(world)
        , m_longer(longer)
    {
    }
    void countFrom(Time time) { m_countFrom = time; }
    void leave(Host& host)
    {
        host.drain();
        m_world.store.put("servers", host.name(), host.spec("draining"));
        const Time acknowledged = Clock::now();
        m_world.record.line("host %s: the store acknowledges that it drains", host.name().c_str());
        host.onOpening = [this, acknowledged](Host& at, const Packet& packet, uint32_t balancer) {
            const Time now = Clock::now();
            Balancer* through = m_world.balancerAt(balancer);
            if (now <= std::max(acknowledged + drainBound, m_countFrom) + measureSlack
                || now < through->startedAt() + stableWindow)
                return;
            ++lateOpenings;
            m_world.record.line("host %s takes a new flow from port %u %.3f s after the acknowledgement, through %s",
                at.name().c_str(), packet.source.port, std::chrono::duration<double>(now - acknowledged).count(),
                through->name().c_str());
        };
        m_world.loop.after(drainBound + m_longer, [this, &host] {
            m_world.record.line("host %s exits, %zu requests at work", host.name().c_str(), host.requestsInProgress());
            host.exit();
            m_world.store.remove("servers", host.name());
        });
    }

private:
    World& m_world;
    std::chrono::milliseconds m_longer;
    Time m_countFrom {};
};

} // namespace review
