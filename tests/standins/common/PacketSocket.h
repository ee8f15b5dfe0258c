#pragma once

#include <anvilwalk/units.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace anvilwalk::standins {

// A UDP socket that carries one packet in each datagram. Sending never blocks; a datagram that does not fit into the
// socket's buffer is lost, as in a network.
class PacketSocket {
public:
    using Handler = std::function<void(std::span<const std::uint8_t>, const Ipv4Endpoint& sender)>;

    // Throws if the endpoint cannot be bound.
    PacketSocket(boost::asio::io_context&, const Ipv4Endpoint&, Handler);

    void send(std::span<const std::uint8_t>, const Ipv4Endpoint& receiver);

private:
    void waitForPackets();
    void readPackets();

    boost::asio::ip::udp::socket m_socket;
    // Lives as long as the socket; a wait that was over before it ended is dropped.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    Handler m_handler;
    std::array<std::uint8_t, 65536> m_buffer {};
};

} // namespace anvilwalk::standins
