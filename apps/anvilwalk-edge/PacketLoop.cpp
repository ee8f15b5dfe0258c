#include "PacketLoop.h"

#include <anvilwalk/units/SocketAddress.h>

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>
#include <vector>

namespace anvilwalk {

namespace {

    namespace asio = boost::asio;
    using udp = asio::ip::udp;

    // Packets received with one system call.
    constexpr std::size_t batchPackets = 32;

    constexpr int maxBatchesPerWakeup = 16;
    // More packets than a receive buffer usually holds.
    constexpr int maxBatchesToDrain = 1024;

} // namespace

// Buffers of one batch. Each packet is received behind its headroom and sent from the same buffer without a copy.
struct PacketLoop::Batch {
    explicit Batch(std::size_t datagramBytes)
        : stride(datagramBytes)
        , bytes(datagramBytes * batchPackets)
    {
    }

    std::span<std::uint8_t> datagram(std::size_t index) { return { bytes.data() + index * stride, stride }; }

    void addOutgoing(std::span<std::uint8_t> datagram, const Ipv4Endpoint& destination)
    {
        addresses[outgoing] = toSocketAddress(destination);
        sendVectors[outgoing] = { .iov_base = datagram.data(), .iov_len = datagram.size() };
        sendHeaders[outgoing] = {};
        sendHeaders[outgoing].msg_hdr.msg_name = &addresses[outgoing];
        sendHeaders[outgoing].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        sendHeaders[outgoing].msg_hdr.msg_iov = &sendVectors[outgoing];
        sendHeaders[outgoing].msg_hdr.msg_iovlen = 1;
        ++outgoing;
    }

    std::size_t stride;
    std::vector<std::uint8_t> bytes;
    std::array<mmsghdr, batchPackets> receiveHeaders {};
    std::array<iovec, batchPackets> receiveVectors {};
    std::array<mmsghdr, batchPackets> sendHeaders {};
    std::array<iovec, batchPackets> sendVectors {};
    std::array<sockaddr_in, batchPackets> addresses {};
    std::size_t outgoing = 0;
};

PacketLoop::PacketLoop(const PacketLoopOptions& options, asio::io_context& context, const PacketFormat& format,
    PacketRouter& router, ForwardObserver& observer, const Clock& clock)
    : m_options(options)
    , m_format(format)
    , m_router(router)
    , m_observer(observer)
    , m_clock(clock)
    , m_socket(context)
    // One byte more than the largest packet, so that a truncated longer packet is detected.
    , m_batch(std::make_unique<Batch>(format.headroomBytes() + format.maxPacketBytes() + 1))
{
    for (std::size_t index = 0; index < batchPackets; ++index) {
        const auto buffer = m_batch->datagram(index).subspan(format.headroomBytes());
        m_batch->receiveVectors[index] = { .iov_base = buffer.data(), .iov_len = buffer.size() };
        m_batch->receiveHeaders[index].msg_hdr.msg_iov = &m_batch->receiveVectors[index];
        m_batch->receiveHeaders[index].msg_hdr.msg_iovlen = 1;
    }
}

PacketLoop::~PacketLoop() = default;

Status PacketLoop::open()
{
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.set_option(asio::socket_base::receive_buffer_size(m_options.receiveBufferBytes), error);
    if (!error)
        m_socket.bind(
            udp::endpoint(asio::ip::address_v4(m_options.address.address.value), m_options.address.port), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return Error { .code = ErrorCode::Unavailable,
            .message = "cannot receive packets at " + m_options.address.toString() + ": " + error.message() };
    return std::monostate {};
}

asio::awaitable<void> PacketLoop::run()
{
    for (;;) {
        boost::system::error_code error;
        co_await m_socket.async_wait(udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        // The limit lets other tasks, such as the readiness probe, run while packets arrive continuously.
        handleBatches(maxBatchesPerWakeup);
    }
}

void PacketLoop::drain() { handleBatches(maxBatchesToDrain); }

void PacketLoop::handleBatches(int maximum)
{
    for (int batches = 0; batches < maximum && handleBatch(); ++batches) { }
}

bool PacketLoop::handleBatch()
{
    const int count
        = ::recvmmsg(m_socket.native_handle(), m_batch->receiveHeaders.data(), batchPackets, MSG_DONTWAIT, nullptr);
    if (count <= 0)
        return false;
    const MonotonicTime now = m_clock.now();
    m_lastPacket = now;
    m_counters.received += static_cast<std::uint64_t>(count);
    for (int index = 0; index < count; ++index)
        handlePacket(static_cast<std::size_t>(index), m_batch->receiveHeaders[index].msg_len, now);
    sendAll();
    return static_cast<std::size_t>(count) == batchPackets;
}

void PacketLoop::handlePacket(std::size_t index, std::size_t size, MonotonicTime now)
{
    const auto buffer = m_batch->datagram(index);
    const std::size_t headroom = m_format.headroomBytes();
    const auto parsed = m_format.parse(buffer.subspan(headroom, size));
    if (std::holds_alternative<DropReason>(parsed)) {
        ++m_counters.malformed;
        return;
    }
    const PacketView& packet = std::get<PacketView>(parsed);
    const Decision decision = m_router.route(packet, now);
    if (const auto* forward = std::get_if<ForwardToTarget>(&decision)) {
        const auto datagram = buffer.first(headroom + size);
        m_observer.onForwarded(packet, *forward);
        m_format.prepareForTarget(datagram, *forward);
        m_batch->addOutgoing(datagram, forward->tunnel);
    } else if (std::holds_alternative<ResetFlow>(decision) || std::holds_alternative<RefuseFlow>(decision)) {
        const std::size_t resetBytes = m_format.writeReset(packet.fields(), buffer);
        m_batch->addOutgoing(
            buffer.first(resetBytes), { .address = packet.key().source, .port = m_options.clientPort });
    }
}

void PacketLoop::sendAll()
{
    std::size_t sent = 0;
    while (sent < m_batch->outgoing) {
        const int count = ::sendmmsg(m_socket.native_handle(), m_batch->sendHeaders.data() + sent,
            static_cast<unsigned>(m_batch->outgoing - sent), MSG_DONTWAIT);
        if (count <= 0) {
            // Skip the datagram that failed: the remaining ones may have other destinations.
            ++m_counters.sendFailures;
            ++sent;
            continue;
        }
        sent += static_cast<std::size_t>(count);
        m_counters.sent += static_cast<std::uint64_t>(count);
    }
    m_batch->outgoing = 0;
}

} // namespace anvilwalk
