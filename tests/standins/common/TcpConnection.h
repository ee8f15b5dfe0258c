#pragma once

#include <common/TcpSegment.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk::standins {

// A small TCP endpoint: handshake, data in order, cumulative acknowledgements, retransmission, FIN and RST. It has
// no congestion control beyond a window that shrinks on a timeout. Holds no sockets and reads no clock.
class TcpConnection {
public:
    using Time = std::chrono::steady_clock::time_point;

    enum class State {
        Opening,
        Open,
        // Both directions are closed and acknowledged.
        Closed,
        // The peer sent a reset.
        Reset,
        // The peer did not answer within the retries.
        TimedOut,
    };

    // Opens a connection as the client; the key is that of outgoing packets.
    TcpConnection(const FlowKey&, std::uint32_t initialSequence, Time now);
    // Accepts an opening segment as the server.
    TcpConnection(const TcpSegment& opening, std::uint32_t initialSequence, Time now);

    // Handles a segment of this flow.
    void receive(const TcpSegment&, Time now);
    // Retransmits what is overdue. To be called at least every 50 ms.
    void tick(Time now);
    void send(std::string_view data);
    // Sends a FIN after all data.
    void close() { m_finQueued = true; }

    // Segments to send now, pending acknowledgements included.
    std::vector<TcpSegment> takeSegments(Time now);
    // Data received in order since the last call.
    std::string takeReceived();

    State state() const { return m_state; }
    const FlowKey& key() const { return m_key; }
    bool peerClosed() const { return m_peerClosed; }
    bool hasUnacknowledged() const { return m_sendUnacked != sendEnd(); }
    // Time of the last segment that brought data or acknowledged some.
    Time lastProgress() const { return m_lastProgress; }
    std::uint32_t peerInitialSequence() const { return m_peerInitialSequence; }
    // Segments that acknowledged what this endpoint never sent; they belong to another endpoint's flow.
    std::uint32_t foreignSegments() const { return m_foreignSegments; }

private:
    std::uint32_t sendEnd() const { return m_dataStart + m_queuedBytes + (m_finQueued ? 1 : 0); }
    void receiveOpeningAsClient(const TcpSegment&, Time now);
    void receiveOpeningAsServer(const TcpSegment&, Time now);
    void receiveOpen(const TcpSegment&, Time now);
    bool acceptAcknowledgement(const TcpSegment&, Time now);
    void acceptData(const TcpSegment&, Time now);
    void deliverInOrder();
    void updateClosed();
    void appendData(std::vector<TcpSegment>&, Time now);
    TcpSegment makeSegment(std::uint32_t sequence) const;
    void restartTimer(Time now, std::chrono::milliseconds timeout);

    FlowKey m_key;
    bool m_isServer;
    State m_state = State::Opening;
    std::uint32_t m_initialSequence;
    std::uint32_t m_dataStart;
    std::uint32_t m_sendUnacked;
    std::uint32_t m_sendNext;
    // Highest sequence number sent so far; retransmission sets m_sendNext back.
    std::uint32_t m_sendMaximum;
    // Data from m_sendUnacked on.
    std::string m_sendBuffer;
    std::uint32_t m_queuedBytes = 0;
    bool m_finQueued = false;
    std::uint32_t m_receiveNext = 0;
    std::uint32_t m_peerInitialSequence = 0;
    std::map<std::uint32_t, std::string> m_outOfOrder;
    std::string m_received;
    bool m_peerFinSeen = false;
    std::uint32_t m_peerFinSequence = 0;
    bool m_peerClosed = false;
    bool m_ackDue = false;
    bool m_openingDue = true;
    std::uint32_t m_windowSegments;
    unsigned m_retries = 0;
    bool m_timerRuns = false;
    Time m_retryAt;
    std::chrono::milliseconds m_timeout;
    Time m_lastProgress;
    std::uint32_t m_foreignSegments = 0;
};

} // namespace anvilwalk::standins
