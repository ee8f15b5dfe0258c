#pragma once

#include "Promises.h"

#include <anvilwalk/units.h>

#include <cstdint>
#include <string>

namespace anvilwalk::soak {

// Loopback addresses of one run. Runs with different networks do not meet.
struct SoakNetwork {
    std::uint8_t number = 40;

    Ipv4Endpoint store() const { return at(1, 1, storePort); }
    Ipv4Endpoint storeProxy(std::size_t balancer) const { return balancerAt(balancer, storePort); }
    Ipv4Endpoint host(std::size_t place) const { return at(2, static_cast<std::uint8_t>(place + 1), hostPort); }
    Ipv4Endpoint caller(std::size_t caller) const { return at(3, static_cast<std::uint8_t>(caller + 1), packetPort); }
    Ipv4Endpoint packets(std::size_t balancer) const { return balancerAt(balancer, packetPort); }
    Ipv4Endpoint ready(std::size_t balancer) const { return balancerAt(balancer, readyPort); }
    Ipv4Endpoint peers(std::size_t balancer) const { return balancerAt(balancer, peerPort); }
    Ipv4Endpoint heartbeats(std::size_t balancer) const { return balancerAt(balancer, heartbeatPort); }
    Ipv4Endpoint metrics(std::size_t balancer) const { return balancerAt(balancer, metricsPort); }

    // Clients receive resets at the port at which balancers take packets.
    static constexpr std::uint16_t packetPort = 7000;

private:
    static constexpr std::uint16_t readyPort = 7001;
    static constexpr std::uint16_t peerPort = 7002;
    static constexpr std::uint16_t metricsPort = 7003;
    static constexpr std::uint16_t heartbeatPort = 7004;
    static constexpr std::uint16_t storePort = 7100;
    static constexpr std::uint16_t hostPort = 8080;
    static constexpr std::size_t balancersInSubnet = 250;

    Ipv4Endpoint at(std::uint8_t subnet, std::uint8_t place, std::uint16_t port) const
    {
        constexpr std::uint32_t loopback = 127U << 24U;
        return { .address = { loopback | static_cast<std::uint32_t>(number) << 16U
                     | static_cast<std::uint32_t>(subnet) << 8U | place },
            .port = port };
    }
    Ipv4Endpoint balancerAt(std::size_t balancer, std::uint16_t port) const
    {
        constexpr std::size_t firstSubnet = 10;
        return at(static_cast<std::uint8_t>(firstSubnet + balancer / balancersInSubnet),
            static_cast<std::uint8_t>(balancer % balancersInSubnet + 1), port);
    }
};

// What a host knows of the balancer that sent it a packet.
class BalancerLinks {
public:
    virtual ~BalancerLinks() = default;

    // The run of the balancer at an address.
    virtual BalancerRun runAt(const Ipv4Endpoint& balancer) const = 0;
    // Whether packets of that balancer reach hosts now.
    virtual bool reachesHosts(const Ipv4Endpoint& balancer) const = 0;
};

// Where callers send their packets.
class PacketSink {
public:
    virtual ~PacketSink() = default;

    // Hands a packet of a flow to the balancer that the routers choose, over a socket of the caller.
    virtual void deliver(std::size_t caller, const FlowKey&, std::vector<std::uint8_t> packet) = 0;
};

} // namespace anvilwalk::soak
