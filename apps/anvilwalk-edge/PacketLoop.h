#pragma once

#include "PacketFormat.h"

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <memory>

namespace anvilwalk {

struct PacketLoopOptions {
    Ipv4Endpoint address;
    // Resets are sent to the client's address and this port.
    std::uint16_t clientPort = 0;
    // Buffers packets that arrive while the process is not scheduled. Counts towards the memory limit when used.
    int receiveBufferBytes = 4'194'304;
};

struct PacketLoopCounters {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t sendFailures = 0;
    std::uint64_t malformed = 0;
};

// Notified of each packet that is forwarded to a target.
class ForwardObserver {
public:
    virtual ~ForwardObserver() = default;
    virtual void onForwarded(const PacketView&, const ForwardToTarget&) = 0;
};

// Receives packets, asks the router for a decision and forwards, resets or drops them.
class PacketLoop {
public:
    PacketLoop(const PacketLoopOptions&, boost::asio::io_context&, const PacketFormat&, PacketRouter&, ForwardObserver&,
        const Clock&);
    ~PacketLoop();
    PacketLoop(const PacketLoop&) = delete;
    PacketLoop& operator=(const PacketLoop&) = delete;

    // Opens and binds the socket.
    Status open();
    // Forwards packets until the io_context stops.
    boost::asio::awaitable<void> run();
    // Forwards the packets that wait in the socket. Called before the process ends.
    void drain();

    const PacketLoopCounters& counters() const { return m_counters; }
    // Time at which the last packet was received.
    MonotonicTime lastPacket() const { return m_lastPacket; }

private:
    struct Batch;

    void handleBatches(int maximum);
    // Handles one batch. Returns true if more packets may be waiting.
    bool handleBatch();
    void handlePacket(std::size_t index, std::size_t size, MonotonicTime now);
    void sendAll();

    PacketLoopOptions m_options;
    const PacketFormat& m_format;
    PacketRouter& m_router;
    ForwardObserver& m_observer;
    const Clock& m_clock;
    boost::asio::ip::udp::socket m_socket;
    std::unique_ptr<Batch> m_batch;
    PacketLoopCounters m_counters;
    MonotonicTime m_lastPacket;
};

} // namespace anvilwalk
