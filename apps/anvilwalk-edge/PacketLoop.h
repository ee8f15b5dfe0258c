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
    // Clients receive resets at their address and this port.
    std::uint16_t clientPort = 0;
    // Space for packets that arrive while the process waits for its turn; counts as memory when used.
    int receiveBufferBytes = 4'194'304;
};

struct PacketLoopCounters {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t sendFailures = 0;
    std::uint64_t malformed = 0;
};

// Told of each packet that is sent to a target.
class ForwardObserver {
public:
    virtual ~ForwardObserver() = default;
    virtual void onForwarded(const PacketView&, const ForwardToTarget&) = 0;
};

// Receives packets, has the router decide, and sends them on.
class PacketLoop {
public:
    PacketLoop(const PacketLoopOptions&, boost::asio::io_context&, const PacketFormat&, PacketRouter&, ForwardObserver&,
        const Clock&);
    ~PacketLoop();
    PacketLoop(const PacketLoop&) = delete;
    PacketLoop& operator=(const PacketLoop&) = delete;

    // Opens the socket.
    Status open();
    // Forwards packets until the io_context ends.
    boost::asio::awaitable<void> run();

    const PacketLoopCounters& counters() const { return m_counters; }
    // Time of the last packet.
    MonotonicTime lastPacket() const { return m_lastPacket; }

private:
    struct Batch;

    // Handles one batch; whether more packets may be waiting.
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
