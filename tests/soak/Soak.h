#pragma once

#include "BalancerProcess.h"
#include "Caller.h"
#include "Fabric.h"
#include "FaultPlayer.h"
#include "HostFleet.h"
#include "Operator.h"
#include "Promises.h"
#include "Schedule.h"
#include "StoreServer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <common/Ticker.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilwalk::soak {

// A promise that a run breaks on purpose, to show that its check fires.
enum class Sabotage : std::uint8_t {
    None,
    // Open flows are reset as if by a balancer.
    ResetFlow,
    // Packets of open flows reach a second host too.
    StrayPacket,
    // The configuration sends one service's flows to another.
    WrongService,
    RunTwice,
    // A byte of some packets changes on the way.
    ChangeByte,
    // The store is not told of drains.
    HideDrains,
    // The store is not told of configurations.
    HideConfigs,
    // A balancer is killed as if it had ended by itself.
    EndBalancer,
    // All links stay cut after the last fault.
    StayCut,
    Count,
};

std::string_view toString(Sabotage);
// Nothing if no sabotage has this name.
std::optional<Sabotage> parseSabotage(std::string_view name);

struct SoakOptions {
    std::string program;
    std::string folder;
    std::uint64_t seed = 1;
    std::size_t balancers = 9;
    std::size_t callers = 6;
    std::size_t usersPerCaller = 8;
    std::size_t boardHosts = 10;
    std::size_t photoHosts = 5;
    // Faults begin within this time.
    std::chrono::milliseconds faultTime { 15'000 };
    // Mean pause between the beginnings of two faults.
    std::chrono::milliseconds faultPause { 400 };
    // After the last fault, callers are served again within this time.
    std::chrono::milliseconds recoveryBound { 12'000 };
    std::uint8_t network = 40;
    Sabotage sabotage = Sabotage::None;
};

// One run: real balancer processes among stand-ins for the platform, faults by a schedule, and promises that are
// checked all the while.
class Soak final : private BalancerLinks, private PacketSink {
public:
    Soak(boost::asio::io_context&, const SoakOptions&);

    // Runs to the end and stops the context.
    boost::asio::awaitable<void> run();
    bool kept() const { return m_promises.breaches().empty(); }
    nlohmann::json report() const;
    // The report in words.
    std::string summary() const;

private:
    BalancerRun runAt(const Ipv4Endpoint& balancer) const override;
    bool reachesHosts(const Ipv4Endpoint& balancer) const override;
    void deliver(std::size_t caller, const FlowKey&, std::vector<std::uint8_t> packet) override;

    std::size_t indexOf(const Ipv4Endpoint& balancer) const;
    void send(std::size_t caller, std::span<const std::uint8_t>, const Ipv4Endpoint& balancer);
    OperatorOptions operatorOptions() const;
    std::optional<BalancerRun> probedRun(std::size_t balancer) const;
    void createBalancers();
    void createUsers();
    void startBalancer(BalancerPlace&);
    // Restarts processes that have ended.
    void watchProcesses();
    void sabotagePacket(std::size_t caller, const FlowKey&, std::vector<std::uint8_t>& packet);
    boost::asio::awaitable<void> playFaults();

    boost::asio::io_context& m_context;
    SoakOptions m_options;
    SoakNetwork m_network;
    SoakTime m_start;
    Promises m_promises;
    StoreModel m_objects;
    StoreServer m_store;
    std::vector<BalancerPlace> m_balancers;
    std::uint32_t m_runs = 0;
    Fabric m_fabric;
    HostFleet m_hosts;
    FaultPlayer m_faults;
    std::vector<std::unique_ptr<Caller>> m_callers;
    Operator m_operator;
    std::uint64_t m_packets = 0;
    bool m_ending = false;
    standins::Ticker m_processes;
};

} // namespace anvilwalk::soak
