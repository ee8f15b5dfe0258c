#pragma once

#include "SoakNetwork.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <pcg_random.hpp>
#include <vector>

namespace anvilwalk::soak {

// Harm to the link of one balancer.
struct LinkHarm {
    // Share of packets that are lost, 0 to 1.
    double loss = 0;
    std::chrono::milliseconds delay { 0 };
    // Packets to the balancer, or from it to hosts, are lost.
    bool cutIn = false;
    bool cutOut = false;
};

// The platform's routers: ask balancers whether they are ready and spread packets over those in rotation by a hash of
// the flow, so that most flows move when the rotation changes.
class Fabric {
public:
    // Sends a packet of a caller to a balancer.
    using Send = std::function<void(std::size_t caller, std::span<const std::uint8_t>, const Ipv4Endpoint&)>;

    Fabric(boost::asio::io_context&, const SoakNetwork&, std::size_t balancers, std::uint64_t seed, Send);

    void carry(std::size_t caller, const FlowKey&, std::vector<std::uint8_t> packet);
    // Sends to one balancer whatever the rotation is.
    void carryTo(std::size_t balancer, std::size_t caller, std::vector<std::uint8_t> packet);
    LinkHarm& harm(std::size_t balancer) { return m_links[balancer].harm; }
    const LinkHarm& harm(std::size_t balancer) const { return m_links[balancer].harm; }
    bool isInRotation(std::size_t balancer) const { return m_links[balancer].inRotation; }
    std::size_t inRotation() const;

private:
    struct Link {
        LinkHarm harm;
        int misses = 0;
        bool inRotation = false;
    };

    boost::asio::awaitable<void> probe(std::size_t balancer);

    boost::asio::io_context& m_context;
    SoakNetwork m_network;
    std::vector<Link> m_links;
    pcg32 m_random;
    Send m_send;
};

} // namespace anvilwalk::soak
