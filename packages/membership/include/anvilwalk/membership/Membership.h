#pragma once

#include <anvilwalk/membership/MemberList.h>
#include <anvilwalk/membership/MemberMessage.h>
#include <anvilwalk/membership/MemberProtocol.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

namespace anvilwalk {

struct MembershipCounters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t sendFailures = 0;
};

// Runs the member protocol over a UDP socket.
class Membership final : private MemberSender {
public:
    // The address is that of the socket; all balancers use the same port.
    Membership(const Ipv4Endpoint& address, boost::asio::io_context&, MemberList&, MemberProtocol::SeedList,
        MembershipObserver&, const Clock&);

    Status open();
    // Receives messages until the io_context ends.
    boost::asio::awaitable<void> receive();
    // Sends heartbeats and queries until the io_context ends.
    boost::asio::awaitable<void> run();

    MemberProtocol& protocol() { return m_protocol; }
    const MemberProtocol& protocol() const { return m_protocol; }
    const MembershipCounters& counters() const { return m_counters; }

private:
    void send(const MemberMessage&, const std::vector<Ipv4Address>& receivers) override;
    void handle(std::string_view bytes, const boost::asio::ip::udp::endpoint& source);

    Ipv4Endpoint m_address;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const Clock& m_clock;
    MemberProtocol m_protocol;
    MembershipCounters m_counters;
};

} // namespace anvilwalk
