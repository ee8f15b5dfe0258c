#pragma once

#include "SlotQueue.h"

#include <common/TcpConnection.h>

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace anvilwalk::standins {

struct TargetOptions {
    std::string host;
    std::string service;
    Ipv4Address serviceAddress;
    std::uint16_t servicePort = 0;
    std::size_t slots = 3;
    std::size_t queueLimit = 10'000;
    std::chrono::milliseconds serviceTime { 5 };
    std::chrono::milliseconds streamInterval { 500 };
    // Requests take ten times as long for this time after the start.
    std::chrono::milliseconds coldTime { 0 };
    std::uint64_t seed = 1;
};

// A host that serves one service: TCP flows, requests in slots, streams, draining and shedding. Packets go in and
// out as bytes; it holds no sockets and reads no clock.
class TargetHost {
public:
    using Time = TcpConnection::Time;

    TargetHost(const TargetOptions&, Time now);

    // Handles an inner packet from the tunnel.
    void receive(std::span<const std::uint8_t> packet, Time now);
    // Advances timers, slots and streams. To be called at least every 20 ms.
    void tick(Time now);
    // Inner packets for clients.
    std::vector<TcpSegment> takeSegments() { return std::exchange(m_output, {}); }

    // Health and load as the endpoint reports them, with the configured lag and lie.
    nlohmann::json health(Time now) const;
    // Switches "draining", "shedding", "lagMs" and "lie" ("healthy", "unhealthy" or "").
    nlohmann::json control(const nlohmann::json& switches, Time now);
    // What ran here, and what arrived that should not have.
    nlohmann::json ledger() const;

private:
    struct Flow {
        explicit Flow(TcpConnection opened)
            : connection(std::move(opened))
        {
        }

        TcpConnection connection;
        std::string input;
        // Header of a request whose bytes have not all arrived.
        nlohmann::json upload;
        // The open request, for its answer.
        nlohmann::json request;
        bool streaming = false;
        std::uint64_t nextUpdate = 0;
        Time nextUpdateAt;
        Time finishedAt;
        bool finished = false;
    };

    struct HealthSample {
        Time at;
        nlohmann::json report;
    };

    void receiveUnknown(const TcpSegment&, Time now);
    void accept(const TcpSegment&, Time now);
    void countReset(const TcpSegment&, const std::string& cause);
    void readRequests(Flow&, Time now);
    void startRequest(Flow&, const nlohmann::json& request, Time now);
    void answer(Flow&, const nlohmann::json& fields);
    void startJobs(Time now);
    void finishJob(const SlotJob&, Time now);
    void advanceFlow(Flow&, Time now);
    void sampleHealth(Time now);
    nlohmann::json currentHealth() const;
    std::size_t openFlows() const;
    std::chrono::milliseconds jobDuration(Time now) const;

    TargetOptions m_options;
    pcg32 m_random;
    Time m_startedAt;
    std::map<FlowKey, Flow> m_flows;
    SlotQueue m_queue;
    std::vector<TcpSegment> m_output;
    bool m_draining = false;
    bool m_shedding = false;
    std::chrono::milliseconds m_lag { 0 };
    std::string m_lie;
    Time m_drainingSince;
    std::deque<HealthSample> m_samples;
    std::map<std::string, std::uint64_t> m_ran;
    std::map<std::string, std::uint64_t> m_resets;
    std::vector<std::int64_t> m_openingsAfterDrainMs;
    std::uint64_t m_openings = 0;
    std::uint64_t m_wrongService = 0;
    std::uint64_t m_foreignSegments = 0;
    std::uint64_t m_neverOpened = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_malformed = 0;
};

} // namespace anvilwalk::standins
