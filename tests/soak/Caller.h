#pragma once

#include "SoakNetwork.h"
#include "WirePacket.h"

#include <anvilwalk/units.h>
#include <common/PacketSocket.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <pcg_random.hpp>

namespace anvilwalk::soak {

// What one user of a caller does again and again.
struct UserHabit {
    ServiceName service;
    ServiceAddress address;
    // Requests on one flow, with pauses between them.
    std::uint32_t requestsPerFlow = 1;
    // A request that failed may be sent again.
    bool idempotent = true;
};

struct CallerOptions {
    std::size_t number = 0;
    Ipv4Endpoint endpoint;
    std::uint64_t seed = 0;
};

struct CallerCounts {
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t retried = 0;
};

// A client machine: its users open flows, send requests and judge the answers.
class Caller {
public:
    Caller(boost::asio::io_context&, const CallerOptions&, Promises&, PacketSink&);
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void addUser(const UserHabit&);
    // Requests that begin from now on must be answered.
    void expectAnswers() { m_expectsAnswers = true; }
    // Users begin nothing new.
    void stop() { m_stopping = true; }
    const CallerCounts& counts() const { return m_counts; }
    std::size_t openFlows() const { return m_flows.size(); }

    // Sends a packet to a balancer; called by the routers.
    void sendFrom(std::span<const std::uint8_t>, const Ipv4Endpoint& balancer);

private:
    struct Flow;
    using FlowPointer = std::shared_ptr<Flow>;

    enum class Outcome : std::uint8_t {
        Answered,
        // The flow was never opened; the request has not run.
        NotOpened,
        // The flow ended or fell silent with the request on its way.
        Broken,
    };

    boost::asio::awaitable<void> runUser(UserHabit);
    // One request with its retries, on the given flow or a new one.
    boost::asio::awaitable<void> makeRequest(UserHabit, FlowPointer&);
    boost::asio::awaitable<Outcome> tryOnce(UserHabit, FlowPointer&, std::uint64_t id);
    boost::asio::awaitable<bool> openFlow(FlowPointer, std::uint64_t id);
    boost::asio::awaitable<bool> exchange(FlowPointer, std::uint64_t id);

    FlowPointer makeFlow(const ServiceAddress&);
    void closeFlow(FlowPointer&);
    void send(const Flow&, std::uint8_t flags, std::string payload = {}, std::uint32_t copy = 0);
    void receive(std::span<const std::uint8_t>);
    void takeAnswer(Flow&, const WirePacket&);
    std::uint64_t nextId();

    boost::asio::io_context& m_context;
    CallerOptions m_options;
    Promises& m_promises;
    PacketSink& m_network;
    pcg32 m_random;
    bool m_expectsAnswers = false;
    bool m_stopping = false;
    std::uint16_t m_nextPort = 1024;
    std::uint64_t m_requests = 0;
    std::map<std::uint16_t, FlowPointer> m_flows;
    CallerCounts m_counts;
    standins::PacketSocket m_socket;
};

} // namespace anvilwalk::soak
