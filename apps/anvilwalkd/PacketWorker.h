#pragma once

#include "ReceiveBatch.h"
#include "SendBatch.h"
#include "UdpSocket.h"

#include <anvilwalk/process.h>

#include <atomic>
#include <functional>
#include <optional>
#include <relay.pb.h>
#include <utility>

#include <boost/asio.hpp>

namespace anvilwalk {

class PacketTracer;

struct PacketWorkerOptions {
    RelayRouter& router;
    const Clock& clock;
    // Counts a packet that does not reach the router.
    std::function<void(DropReason)> noteDrop;
    std::optional<Ipv4Endpoint> refusalGateway;
    // Null if tracing is off.
    PacketTracer* tracer = nullptr;
};

// One thread's share of the packet path: reads batches of packets, has the router decide on each, and writes
// the results in batches. All members but the counters belong to the thread that runs the io_context.
class PacketWorker {
public:
    PacketWorker(const PacketWorkerOptions&, UdpSocket packetSocket, UdpSocket relaySocket);
    ~PacketWorker();
    PacketWorker(const PacketWorker&) = delete;
    PacketWorker& operator=(const PacketWorker&) = delete;

    // Serves until stop is called. Runs on the calling thread.
    void run();
    void stop();

    // Time of the last packet from the fabric or a peer; the epoch if there was none.
    MonotonicTime lastPacket() const { return MonotonicTime(Duration(m_lastPacketNs.load())); }
    // How flows began since the last call; see OpeningObserver.
    std::vector<TargetObservation> takeObservations() { return m_openings.take(); }
    // Packets that the kernel did not take.
    std::uint64_t sendFailures() const { return m_sendFailures; }

private:
    using Descriptor = boost::asio::posix::stream_descriptor;

    void awaitPackets();
    void awaitRelayed();
    bool servePackets();
    bool serveRelayed();
    void routePacket(std::span<const std::uint8_t> bytes);
    void routeRelayed(std::size_t index, std::span<const std::uint8_t> bytes);
    void carryOut(const Decision&, const PacketView&, std::uint32_t hop);
    void addRelay(const RelayToBalancer&, const PacketView&);
    void addReset(const PacketView&);
    void beginBatch(std::size_t count);
    void endBatch(std::size_t count);

    PacketWorkerOptions m_options;
    boost::asio::io_context m_context { 1 };
    UdpSocket m_packetSocket;
    UdpSocket m_relaySocket;
    Descriptor m_packetReady;
    Descriptor m_relayReady;

    const Ipv4Address m_ownAddress;

    ReceiveBatch m_received;
    OpeningObserver m_openings;
    SendBatch m_toTargets;
    SendBatch m_toPeers;
    std::vector<relay::RelayedPacket> m_relayMessages;
    relay::RelayedPacket m_relayScratch;
    std::vector<std::uint8_t> m_relayBytes;
    std::array<ResetPacket, datagramsPerBatch> m_resets {};
    std::size_t m_resetCount = 0;
    MonotonicTime m_now;
    std::atomic<std::int64_t> m_lastPacketNs { 0 };
    std::atomic<std::uint64_t> m_sendFailures { 0 };
};

} // namespace anvilwalk
