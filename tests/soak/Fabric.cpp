#include "Fabric.h"

#include "Delay.h"

#include <anvilwalk/discovery.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace anvilwalk::soak {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds probeInterval { 500 };
    constexpr std::chrono::milliseconds probeTimeout { 450 };
    constexpr int missesToLeave = 2;
    constexpr unsigned httpOk = 200;

} // namespace

Fabric::Fabric(
    asio::io_context& context, const SoakNetwork& network, std::size_t balancers, std::uint64_t seed, Send send)
    : m_context(context)
    , m_network(network)
    , m_links(balancers)
    , m_random(seed)
    , m_send(std::move(send))
{
    for (std::size_t balancer = 0; balancer < balancers; ++balancer)
        asio::co_spawn(context, probe(balancer), asio::detached);
}

std::size_t Fabric::inRotation() const
{
    return static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const Link& link) { return link.inRotation; }));
}

void Fabric::carry(std::size_t caller, const FlowKey& key, std::vector<std::uint8_t> packet)
{
    // With fewer than half in rotation, all are used.
    const bool useAll = inRotation() * 2 < m_links.size();
    std::vector<std::size_t> usable;
    for (std::size_t balancer = 0; balancer < m_links.size(); ++balancer) {
        if (useAll || m_links[balancer].inRotation)
            usable.push_back(balancer);
    }
    carryTo(usable[key.hash() % usable.size()], caller, std::move(packet));
}

void Fabric::carryTo(std::size_t balancer, std::size_t caller, std::vector<std::uint8_t> packet)
{
    const LinkHarm& harm = m_links[balancer].harm;
    if (harm.cutIn || std::uniform_real_distribution<double>(0, 1)(m_random) < harm.loss)
        return;
    const Ipv4Endpoint receiver = m_network.packets(balancer);
    if (harm.delay == std::chrono::milliseconds(0)) {
        m_send(caller, packet, receiver);
        return;
    }
    runAfter(m_context, harm.delay,
        [this, caller, receiver, packet = std::move(packet)] { m_send(caller, packet, receiver); });
}

asio::awaitable<void> Fabric::probe(std::size_t balancer)
{
    HttpGetClient client({ .server = m_network.ready(balancer), .connectTimeout = probeTimeout }, m_context);
    asio::steady_timer timer(m_context);
    boost::system::error_code ignored;
    Link& link = m_links[balancer];
    for (;;) {
        timer.expires_after(probeInterval);
        const auto answer = co_await client.get("/api/ready", probeTimeout);
        const bool ready = !link.harm.cutIn && isOk(answer) && valueOf(answer).status == httpOk;
        link.misses = ready ? 0 : link.misses + 1;
        if (ready)
            link.inRotation = true;
        else if (link.misses >= missesToLeave)
            link.inRotation = false;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace anvilwalk::soak
