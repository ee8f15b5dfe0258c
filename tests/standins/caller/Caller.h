#pragma once

#include <common/TcpConnection.h>

#include <map>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace anvilwalk::standins {

struct CallerOptions {
    Ipv4Address self;
    std::string service;
    Ipv4Endpoint serviceEndpoint;
    // "booking", "report" or "photo"; streams are opened in addition.
    std::string kind = "booking";
    // First part of every request id; unique among all callers.
    std::string idPrefix;
    std::size_t streams = 0;
    double flowsPerSecond = 0;
    std::size_t requestsPerFlow = 2;
    // Upper bound of the random pause before each request of a flow but the first.
    std::chrono::milliseconds thinkTime { 1000 };
    std::size_t photoBytes = 20'000;
    // An open flow that awaits something and makes no progress for this long is broken.
    std::chrono::milliseconds progressDeadline { 15'000 };
    std::uint64_t seed = 1;
};

// Clients of one service: opens flows, sends requests and checks every answer. A booking or report is sent again on
// a new flow only if it was refused. Packets go in and out as bytes; it holds no sockets and reads no clock.
class Caller {
public:
    using Time = TcpConnection::Time;

    Caller(const CallerOptions&, Time now);

    // Handles an inner packet for this client.
    void receive(std::span<const std::uint8_t> packet, Time now);
    // Opens flows and advances all. To be called at least every 20 ms.
    void tick(Time now);
    std::vector<TcpSegment> takeSegments() { return std::exchange(m_output, {}); }

    // Switches "streams" and "flowsPerSecond".
    void control(const nlohmann::json& switches);
    // Opens nothing more, closes streams and lets the open requests end.
    void finish();
    // After finish(): no flow is left.
    bool finished() const { return m_finishing && m_flows.empty(); }
    // Counters; with the lists of ids if asked for.
    nlohmann::json report(Time now, bool withIds) const;

private:
    struct Flow {
        Flow(TcpConnection opened, std::string flowKind, Time now)
            : connection(std::move(opened))
            , kind(std::move(flowKind))
            , openedAt(now)
            , nextRequestAt(now)
        {
        }

        TcpConnection connection;
        std::string kind;
        std::string input;
        // Request that waits for its answer; empty if there is none.
        std::string awaitedId;
        // Request to send again after a refusal; empty if there is none.
        std::string repeatedId;
        std::size_t requestsSent = 0;
        std::uint64_t nextUpdate = 0;
        bool closing = false;
        Time openedAt;
        Time nextRequestAt;
        Time lastSentAt;
        Time closedAt;
    };

    struct BrokenFlow {
        std::string cause;
        std::string kind;
        std::string id;
        std::uint16_t port = 0;
        Time at;
        // Last progress, or the request that was sent after it.
        Time since;
        std::chrono::milliseconds age { 0 };
    };

    struct Refusal {
        std::string id;
        std::string kind;
        Time retryAt;
    };

    void openFlow(const std::string& kind, const std::string& repeatedId, Time now);
    void openDueFlows(Time now);
    void advance(Flow&, Time now);
    void sendRequest(Flow&, Time now);
    void readAnswers(Flow&, Time now);
    void takeAnswer(Flow&, const nlohmann::json& answer, Time now);
    void checkProgress(Flow&, Time now);
    void endFlow(Flow&, Time now);
    void breakFlow(Flow&, const std::string& cause, Time now);
    void refuse(Flow&, const std::string& id, Time now);
    bool isDone(const Flow&, Time now) const;
    std::string nextId(const std::string& kind);
    std::string repeatOf(const std::string& id) const;
    std::size_t countStreams() const;
    std::chrono::milliseconds randomPause(std::chrono::milliseconds longest);

    CallerOptions m_options;
    pcg32 m_random;
    // By source port.
    std::map<std::uint16_t, Flow> m_flows;
    std::uint16_t m_nextPort;
    std::vector<Refusal> m_refusals;
    std::vector<TcpSegment> m_output;
    bool m_finishing = false;
    Time m_lastTick;
    double m_flowCredit = 0;
    Time m_nextStreamAt;
    std::uint64_t m_nextNumber = 0;
    std::uint64_t m_flowsOpened = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_notOpened = 0;
    std::uint64_t m_updates = 0;
    std::uint64_t m_strayPackets = 0;
    std::uint64_t m_foreignSegments = 0;
    std::uint64_t m_streamGaps = 0;
    std::uint64_t m_wrongSizes = 0;
    std::vector<std::string> m_misdelivered;
    std::vector<BrokenFlow> m_broken;
    std::vector<std::string> m_answeredIds;
    std::vector<std::string> m_refusedIds;
    std::vector<std::string> m_unknownIds;
};

} // namespace anvilwalk::standins
