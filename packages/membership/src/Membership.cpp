#include <anvilwalk/membership/Membership.h>

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace anvilwalk {

namespace asio = boost::asio;
using udp = asio::ip::udp;

Membership::Membership(const Ipv4Endpoint& address, asio::io_context& context, MemberList& members,
    MemberProtocol::SeedList seeds, MembershipObserver& observer, const Clock& clock)
    : m_address(address)
    , m_socket(context)
    , m_timer(context)
    , m_clock(clock)
    , m_protocol({ .self = address.address }, members, std::move(seeds), observer, *this)
{
}

Status Membership::open()
{
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.bind(udp::endpoint(asio::ip::address_v4(m_address.address.value), m_address.port), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return Error { .code = ErrorCode::Unavailable,
            .message = "cannot receive heartbeats at " + m_address.toString() + ": " + error.message() };
    return std::monostate {};
}

asio::awaitable<void> Membership::receive()
{
    std::array<char, maxMemberMessageBytes> buffer {};
    for (;;) {
        udp::endpoint source;
        boost::system::error_code error;
        const std::size_t size = co_await m_socket.async_receive_from(
            asio::buffer(buffer), source, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        // Other errors report that an earlier datagram was not delivered; its receiver will time out.
        if (!error)
            handle(std::string_view(buffer.data(), size), source);
    }
}

void Membership::handle(std::string_view bytes, const udp::endpoint& source)
{
    const Result<MemberMessage> message = decodeMemberMessage(bytes);
    if (!isOk(message)) {
        ++m_counters.malformed;
        return;
    }
    ++m_counters.received;
    m_protocol.handle(valueOf(message), { source.address().to_v4().to_uint() }, m_clock.now());
}

asio::awaitable<void> Membership::run()
{
    m_protocol.start(m_clock.now());
    for (;;) {
        m_timer.expires_after(m_protocol.nextDelay());
        co_await m_timer.async_wait(asio::use_awaitable);
        m_protocol.tick(m_clock.now());
    }
}

void Membership::send(const MemberMessage& message, const std::vector<Ipv4Address>& receivers)
{
    const std::string bytes = encodeMemberMessage(message);
    for (const Ipv4Address& receiver : receivers) {
        const udp::endpoint destination(asio::ip::address_v4(receiver.value), m_address.port);
        boost::system::error_code error;
        m_socket.send_to(asio::buffer(bytes), destination, 0, error);
        ++(error ? m_counters.sendFailures : m_counters.sent);
    }
}

} // namespace anvilwalk
