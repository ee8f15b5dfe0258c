#include "PacketWorker.h"

#include "PacketTracer.h"

#include <unistd.h>

namespace anvilwalk {

namespace {

    // Consecutive batches read from one socket before the other socket is served.
    constexpr int batchesPerTurn = 8;
    // A batch that takes longer was interrupted, and its decisions may be based on tables that other balancers have
    // replaced. Recent openings are handed to their owners 50 ms after a new table is in force; no opening recorded
    // after that may be sent according to the previous table.
    constexpr std::chrono::milliseconds maxBatchAge { 40 };

} // namespace

PacketWorker::PacketWorker(const PacketWorkerOptions& options, UdpSocket packetSocket, UdpSocket relaySocket)
    : m_options(options)
    , m_packetSocket(std::move(packetSocket))
    , m_relaySocket(std::move(relaySocket))
    , m_packetReady(m_context, m_packetSocket.descriptor())
    , m_relayReady(m_context, m_relaySocket.descriptor())
    , m_ownAddress(m_packetSocket.localEndpoint().address)
    , m_relayMessages(datagramsPerBatch)
    , m_relayBytes(datagramsPerBatch * maxDatagramBytes)
{
}

PacketWorker::~PacketWorker()
{
    // UdpSocket owns and closes the descriptors.
    m_packetReady.release();
    m_relayReady.release();
}

void PacketWorker::run()
{
    awaitPackets();
    awaitRelayed();
    m_context.run();
}

void PacketWorker::stop() { m_context.stop(); }

void PacketWorker::awaitPackets()
{
    m_packetReady.async_wait(Descriptor::wait_read, [this](const boost::system::error_code& error) {
        if (error)
            return;
        for (int batch = 0; batch < batchesPerTurn && processPackets(); ++batch) { }
        awaitPackets();
    });
}

void PacketWorker::awaitRelayed()
{
    m_relayReady.async_wait(Descriptor::wait_read, [this](const boost::system::error_code& error) {
        if (error)
            return;
        for (int batch = 0; batch < batchesPerTurn && processRelayed(); ++batch) { }
        awaitRelayed();
    });
}

// Processes one batch from the fabric. Returns true if more packets may be queued.
bool PacketWorker::processPackets()
{
    const std::size_t count = m_received.receive(m_packetSocket.descriptor());
    beginBatch(count);
    for (std::size_t index = 0; index < count; ++index) {
        if (m_received.truncated(index))
            m_options.countDrop(DropReason::Truncated);
        else
            routePacket(m_received.datagram(index));
    }
    endBatch(count);
    return count == datagramsPerBatch;
}

// Processes one batch from other balancers. Returns true if more packets may be queued.
bool PacketWorker::processRelayed()
{
    const std::size_t count = m_received.receive(m_relaySocket.descriptor());
    beginBatch(count);
    for (std::size_t index = 0; index < count; ++index) {
        if (m_received.truncated(index))
            m_options.countDrop(DropReason::BadRelayHeader);
        else
            routeRelayed(index, m_received.datagram(index));
    }
    endBatch(count);
    return count == datagramsPerBatch;
}

void PacketWorker::beginBatch(std::size_t count)
{
    m_now = m_options.clock.now();
    m_resetCount = 0;
    if (count > 0)
        m_lastPacketNs.store(m_now.time_since_epoch().count(), std::memory_order_relaxed);
}

void PacketWorker::endBatch(std::size_t count)
{
    if (count == 0)
        return;
    if (m_options.clock.now() - m_now > maxBatchAge) {
        for (std::size_t index = 0; index < m_toTargets.size() + m_toPeers.size(); ++index)
            m_options.countDrop(DropReason::StaleState);
        m_toTargets.clear();
        m_toPeers.clear();
        return;
    }
    std::size_t failures = 0;
    if (m_toTargets.size() > 0)
        failures += m_toTargets.send(m_packetSocket.descriptor());
    if (m_toPeers.size() > 0)
        failures += m_toPeers.send(m_relaySocket.descriptor());
    if (failures > 0)
        m_sendFailures += failures;
}

void PacketWorker::routePacket(std::span<const std::uint8_t> bytes)
{
    const auto parsed = PacketView::parse(bytes);
    const auto* packet = std::get_if<PacketView>(&parsed);
    if (packet == nullptr)
        m_options.countDrop(std::get<DropReason>(parsed));
    else if (packet->key().destination == m_ownAddress)
        m_options.countDrop(DropReason::AddressedToBalancer);
    else
        applyDecision(m_options.router.route(*packet, m_now), *packet, 0);
}

void PacketWorker::routeRelayed(std::size_t index, std::span<const std::uint8_t> bytes)
{
    const auto decoded = decodeRelayed(bytes, m_relayMessages[index]);
    if (const auto* relayed = std::get_if<RelayedPacketView>(&decoded)) {
        const Decision decision = m_options.router.routeRelayed(relayed->header, relayed->packet, m_now);
        applyDecision(decision, relayed->packet, relayed->header.hops);
    } else {
        m_options.countDrop(std::get<DropReason>(decoded));
    }
}

void PacketWorker::applyDecision(const Decision& decision, const PacketView& packet, std::uint32_t hop)
{
    if (m_options.tracer != nullptr)
        m_options.tracer->trace(packet, decision, hop);
    if (const auto* forward = std::get_if<ForwardToTarget>(&decision)) {
        m_openings.observe(packet.key().hash(), packet.kind(), forward->target, m_now);
        m_toTargets.add(forward->tunnel, packet.bytes());
    } else if (const auto* relay = std::get_if<RelayToBalancer>(&decision)) {
        addRelay(*relay, packet);
    } else if (std::holds_alternative<RefuseFlow>(decision)) {
        addReset(packet);
    }
}

void PacketWorker::addRelay(const RelayToBalancer& relay, const PacketView& packet)
{
    const std::span<std::uint8_t> buffer(m_relayBytes.data() + m_toPeers.size() * maxDatagramBytes, maxDatagramBytes);
    const std::size_t size = encodeRelayed(relay.header, packet.bytes(), m_relayScratch, buffer);
    if (size == 0) {
        m_options.countDrop(DropReason::BadLength);
        return;
    }
    m_toPeers.add(relay.relayEndpoint, buffer.first(size));
}

void PacketWorker::addReset(const PacketView& packet)
{
    const auto reset = buildReset(packet);
    if (!reset || !m_options.refusalGateway)
        return;
    m_resets[m_resetCount] = *reset;
    m_toTargets.add(*m_options.refusalGateway, m_resets[m_resetCount]);
    ++m_resetCount;
}

} // namespace anvilwalk
