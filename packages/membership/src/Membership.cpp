#include <anvilwalk/membership/Membership.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace anvilwalk {

namespace asio = boost::asio;
using udp = asio::ip::udp;

Membership::Membership(const MembershipOptions& options, asio::io_context& context, MemberList& members, SeedList seeds,
    MembershipObserver& observer, const Clock& clock)
    : m_options(options)
    , m_socket(context)
    , m_timer(context)
    , m_members(members)
    , m_seeds(std::move(seeds))
    , m_observer(observer)
    , m_clock(clock)
    , m_aloneDelay(options.aloneQueryDelay)
{
}

Status Membership::open()
{
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.bind(
            udp::endpoint(asio::ip::address_v4(m_options.address.address.value), m_options.address.port), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return Error { .code = ErrorCode::Unavailable,
            .message = "cannot receive heartbeats at " + m_options.address.toString() + ": " + error.message() };
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
    const Result<MemberMessage> decoded = decodeMemberMessage(bytes);
    if (!isOk(decoded)) {
        ++m_counters.malformed;
        return;
    }
    ++m_counters.received;
    const MemberMessage& message = valueOf(decoded);
    const bool isNew = m_members.handle(message, m_clock.now());
    const Ipv4Address sender { source.address().to_v4().to_uint() };
    if (message.kind == MemberMessageKind::Query)
        sendTo(encodeMemberMessage(makeMessage(MemberMessageKind::Introduction, message.sender.dataCentre)), sender);
    else if (message.kind == MemberMessageKind::Introduction)
        handleIntroduction();
    else if (isNew)
        // A member that has just started need not wait for the next heartbeat.
        sendTo(encodeMemberMessage(makeMessage(MemberMessageKind::Heartbeat, message.sender.dataCentre)), sender);
    if (message.relay && !message.leaving && message.sender.dataCentre == m_members.self().dataCentre)
        m_observer.onRelayStatus(message.sender, message.view);
}

void Membership::handleIntroduction()
{
    m_introducedAt = m_clock.now();
    // The hubs answer a new member at once.
    announce();
}

asio::awaitable<void> Membership::run()
{
    querySeeds();
    for (;;) {
        m_timer.expires_after(nextDelay());
        co_await m_timer.async_wait(asio::use_awaitable);
        const MonotonicTime now = m_clock.now();
        m_members.expire(now);
        announce();
        if (isQueryDue(now))
            querySeeds();
    }
}

bool Membership::isQueryDue(MonotonicTime now) const
{
    return isAlone() || (m_members.role() != MemberRole::Follower && now - m_lastQuery >= m_options.queryInterval);
}

std::chrono::milliseconds Membership::nextDelay()
{
    if (!isAlone()) {
        m_aloneDelay = m_options.aloneQueryDelay;
        return m_options.heartbeatInterval;
    }
    const auto delay = m_aloneDelay;
    m_aloneDelay = std::min(m_aloneDelay * 2, m_options.queryInterval);
    return delay;
}

OwnMemberState Membership::updateOwnState()
{
    OwnMemberState state = m_observer.ownMemberState();
    m_members.setOwnState(state.hasView, state.leaving);
    return state;
}

void Membership::announce()
{
    updateOwnState();
    const std::vector<Member> destinations = m_members.heartbeatDestinations();
    if (destinations.empty())
        return;
    const std::string bytes
        = encodeMemberMessage(makeMessage(MemberMessageKind::Heartbeat, m_members.self().dataCentre));
    for (const Member& member : destinations)
        sendTo(bytes, member.viewAddress.address);
}

void Membership::querySeeds()
{
    m_lastQuery = m_clock.now();
    const std::string bytes = encodeMemberMessage(makeMessage(MemberMessageKind::Query, m_members.self().dataCentre));
    for (const Ipv4Endpoint& seed : m_seeds()) {
        if (seed.address != m_options.address.address)
            sendTo(bytes, seed.address);
    }
}

MemberMessage Membership::makeMessage(MemberMessageKind kind, const DataCentreId& receiver)
{
    const OwnMemberState state = updateOwnState();
    return { .kind = kind,
        .sender = m_members.self(),
        .leaving = state.leaving,
        .hasView = state.hasView,
        .relay = state.hasView && m_members.role() == MemberRole::Relay,
        .needsCurrentTargets = state.needsCurrentTargets,
        .view = state.view,
        .memberCount = m_members.memberCount(),
        .members = m_members.introductionsFor(receiver) };
}

void Membership::sendTo(const std::string& bytes, const Ipv4Address& address)
{
    boost::system::error_code error;
    m_socket.send_to(
        asio::buffer(bytes), udp::endpoint(asio::ip::address_v4(address.value), m_options.address.port), 0, error);
    ++(error ? m_counters.sendFailures : m_counters.sent);
}

} // namespace anvilwalk
