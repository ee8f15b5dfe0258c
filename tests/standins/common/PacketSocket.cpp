#include "PacketSocket.h"

#include <boost/asio/buffer.hpp>

namespace anvilwalk::standins {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

    // Absorbs bursts while the process is not scheduled.
    constexpr int receiveBufferBytes = 4 << 20;
    // Packets read before other events of the process get a turn.
    constexpr int packetsPerTurn = 64;

    udp::endpoint toAsio(const Ipv4Endpoint& endpoint)
    {
        return { boost::asio::ip::address_v4(endpoint.address.value), endpoint.port };
    }

} // namespace

PacketSocket::PacketSocket(boost::asio::io_context& context, const Ipv4Endpoint& endpoint, Handler handler)
    : m_socket(context, toAsio(endpoint))
    , m_handler(std::move(handler))
{
    m_socket.set_option(udp::socket::receive_buffer_size(receiveBufferBytes));
    m_socket.non_blocking(true);
    waitForPackets();
}

void PacketSocket::send(std::span<const std::uint8_t> packet, const Ipv4Endpoint& receiver)
{
    error_code ignored;
    m_socket.send_to(boost::asio::buffer(packet.data(), packet.size()), toAsio(receiver), 0, ignored);
}

void PacketSocket::waitForPackets()
{
    m_socket.async_wait(udp::socket::wait_read, [this, alive = std::weak_ptr<int>(m_alive)](error_code error) {
        if (error == boost::asio::error::operation_aborted || alive.expired())
            return;
        readPackets();
        waitForPackets();
    });
}

void PacketSocket::readPackets()
{
    for (int i = 0; i < packetsPerTurn; ++i) {
        udp::endpoint sender;
        error_code error;
        const std::size_t size = m_socket.receive_from(boost::asio::buffer(m_buffer), sender, 0, error);
        // An ICMP error of an earlier send is reported here and says nothing about later packets.
        if (error == boost::asio::error::connection_refused)
            continue;
        if (error)
            return;
        const Ipv4Endpoint from { { sender.address().to_v4().to_uint() }, sender.port() };
        m_handler(std::span(m_buffer.data(), size), from);
    }
}

} // namespace anvilwalk::standins
