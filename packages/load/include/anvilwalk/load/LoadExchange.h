#pragma once

#include <anvilwalk/load/LoadCollector.h>
#include <anvilwalk/load/LoadMessage.h>
#include <anvilwalk/load/LoadSampler.h>
#include <anvilwalk/load/SharedLoad.h>
#include <anvilwalk/membership.h>
#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace anvilwalk {

struct LoadExchangeOptions {
    // All balancers use the same port.
    Ipv4Endpoint address;
    std::chrono::milliseconds interval { 1000 };
    // Number of the longest-running members that sum the reports. Two, so that one can fail without a gap.
    std::size_t collectors = 2;
    // Bytes that a collector sends in a second. Summaries become rarer in a large data centre; if they then arrive too
    // old to be used, each balancer chooses by its own estimate.
    std::size_t maxSummaryBytesPerSecond = 128'000;
};

struct LoadExchangeCounters {
    std::uint64_t reportsSent = 0;
    std::uint64_t summariesSent = 0;
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t sendFailures = 0;
    std::uint64_t bytesSent = 0;
};

// Exchanges load reports and summaries with the other balancers of the data centre over UDP.
class LoadExchange {
public:
    LoadExchange(
        const LoadExchangeOptions&, boost::asio::io_context&, const MemberList&, TargetCatalogue&, const Clock&);

    Status open();
    // Sets whether reports are sent and summaries used.
    void setEnabled(bool);
    // Sets a handler for messages that cannot be decoded.
    void onMalformed(std::function<void(const Error&)> handler) { m_onMalformed = std::move(handler); }
    // Receives messages until the io_context ends.
    boost::asio::awaitable<void> receive();
    // Sends reports and summaries until the io_context ends.
    boost::asio::awaitable<void> run();

    const LoadExchangeCounters& counters() const { return m_counters; }

private:
    void handle(std::string_view bytes);
    void tick(MonotonicTime now);
    void sendSummary(const std::vector<Member>& members, MonotonicTime now);
    // Returns whether the bytes are within the rate, and counts them.
    bool takeFromBudget(std::size_t bytes, MonotonicTime now);
    void send(const std::vector<std::string>& parts, const Member&);

    LoadExchangeOptions m_options;
    const MemberList& m_members;
    const Clock& m_clock;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    LoadSampler m_sampler;
    LoadCollector m_collector;
    SharedLoad m_sharedLoad;
    bool m_enabled = false;
    std::uint64_t m_sequence = 0;
    double m_budgetBytes = 0;
    MonotonicTime m_budgetAt;
    std::function<void(const Error&)> m_onMalformed;
    LoadExchangeCounters m_counters;
};

} // namespace anvilwalk
