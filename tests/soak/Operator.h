#pragma once

#include "Fabric.h"
#include "StoreModel.h"
#include "WirePacket.h"

#include <boost/asio/io_context.hpp>
#include <common/PacketSocket.h>
#include <common/Ticker.h>
#include <deque>
#include <functional>
#include <map>
#include <pcg_random.hpp>

namespace anvilwalk::soak {

// One service and the address that clients reach it at.
struct SoakService {
    ServiceName name;
    ServiceAddress address;
};

struct OperatorOptions {
    std::vector<SoakService> services;
    // Caller number under which probes are sent.
    std::size_t caller = 0;
    std::uint64_t seed = 0;
    // Breaks a promise on purpose: configurations are announced and not written.
    bool hideConfigs = false;
};

// Publishes configurations in quick succession, each with a new port and without an old one, and asks single balancers
// by opening packets to such ports which configuration is in force there.
class Operator {
public:
    // The run of a balancer that may be probed now; nothing if it is not ready.
    using ProbedRun = std::function<std::optional<BalancerRun>(std::size_t balancer)>;
    // Whether the store takes writes now.
    using CanWrite = std::function<bool()>;

    Operator(boost::asio::io_context&, const OperatorOptions&, const SoakNetwork&, std::size_t balancers, StoreModel&,
        Promises&, Fabric&, ProbedRun, CanWrite);

    void publish();
    void sendFrom(std::span<const std::uint8_t>, const Ipv4Endpoint& balancer);
    std::uint64_t published() const { return m_published; }

private:
    struct Probe {
        BalancerRun run;
        std::size_t balancer = 0;
        std::uint16_t port = 0;
        SoakTime sent;
    };

    nlohmann::json config() const;
    void probe();
    void probeBalancer(std::size_t balancer, BalancerRun);
    void receive(std::span<const std::uint8_t>);

    OperatorOptions m_options;
    Ipv4Endpoint m_endpoint;
    std::size_t m_balancers;
    StoreModel& m_store;
    Promises& m_promises;
    Fabric& m_fabric;
    ProbedRun m_probedRun;
    CanWrite m_canWrite;
    pcg32 m_random;
    std::uint64_t m_version = 1;
    std::uint64_t m_published = 0;
    std::uint16_t m_nextPort = 20000;
    // Ports that are in the configuration, oldest first.
    std::deque<std::uint16_t> m_ports;
    // The port that was dropped last.
    std::uint16_t m_droppedPort = 0;
    std::uint16_t m_nextSource = 1024;
    // By the port that a probe was sent from.
    std::map<std::uint16_t, Probe> m_probes;
    standins::PacketSocket m_socket;
    standins::Ticker m_publishing;
    standins::Ticker m_probing;
};

} // namespace anvilwalk::soak
