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
    // Called for each packet that the worker itself drops.
    std::function<void(DropReason)> countDrop;
    std::optional<Ipv4Endpoint> refusalGateway;
    // Null if tracing is off.
    PacketTracer* tracer = nullptr;
};

// Packet path of one thread: receives packets in batches, routes each and sends the results in batches. All members
// except the counters may be accessed only from the thread that runs the io_context.
class PacketWorker {
public:
    PacketWorker(const PacketWorkerOptions&, UdpSocket packetSocket, UdpSocket relaySocket);
    ~PacketWorker();
    PacketWorker(const PacketWorker&) = delete;
    PacketWorker& operator=(const PacketWorker&) = delete;

    // Processes packets on the calling thread until stop() is called.
    void run();
    void stop();

    // Time of the last packet received from the fabric or a peer; the epoch if there was none.
    MonotonicTime lastPacket() const { return MonotonicTime(Duration(m_lastPacketNs.load())); }
    // Returns the flow openings observed since the last call; see OpeningObserver.
    std::vector<TargetObservation> takeObservations() { return m_openings.take(); }
    // Number of packets that the kernel did not accept for sending.
    std::uint64_t sendFailures() const { return m_sendFailures; }

private:
    using Descriptor = boost::asio::posix::stream_descriptor;

    void awaitPackets();
    void awaitRelayed();
    bool processPackets();
    bool processRelayed();
    void routePacket(std::span<const std::uint8_t> bytes);
    void routeRelayed(std::size_t index, std::span<const std::uint8_t> bytes);
    void applyDecision(const Decision&, const PacketView&, std::uint32_t hop);
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
