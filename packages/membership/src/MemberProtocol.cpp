#include <anvilwalk/membership/MemberProtocol.h>

#include <algorithm>
#include <utility>

namespace anvilwalk {

MemberProtocol::MemberProtocol(const MemberProtocolOptions& options, MemberList& members, SeedList seeds,
    MembershipObserver& observer, MemberSender& sender)
    : m_options(options)
    , m_members(members)
    , m_seeds(std::move(seeds))
    , m_observer(observer)
    , m_sender(sender)
    , m_aloneDelay(options.aloneQueryDelay)
{
}

void MemberProtocol::start(MonotonicTime now) { querySeeds(now); }

void MemberProtocol::handle(const MemberMessage& message, const Ipv4Address& source, MonotonicTime now)
{
    const MemberListChange change = m_members.handle(message, now);
    switch (message.kind) {
    case MemberMessageKind::Query:
        m_sender.send(makeMessage(MemberMessageKind::Introduction, message.sender.dataCentre), { source });
        break;
    case MemberMessageKind::Introduction:
        m_introducedAt = now;
        break;
    case MemberMessageKind::Heartbeat:
        // A member that has just started need not wait for the next heartbeat.
        if (change.newSender)
            m_sender.send(makeMessage(MemberMessageKind::Heartbeat, message.sender.dataCentre), { source });
        break;
    }
    // The hubs among them answer a new member at once.
    if (change.introduced && !m_members.isHub())
        announce(now);
    if (message.relay && !message.leaving && message.sender.dataCentre == m_members.self().dataCentre)
        m_observer.onRelayStatus(message.sender, message.view);
}

void MemberProtocol::tick(MonotonicTime now)
{
    m_members.expire(now);
    announce(now);
    if (isQueryDue(now))
        querySeeds(now);
}

std::chrono::milliseconds MemberProtocol::nextDelay()
{
    if (!isAlone()) {
        m_aloneDelay = m_options.aloneQueryDelay;
        return m_options.heartbeatInterval;
    }
    const auto delay = m_aloneDelay;
    m_aloneDelay = std::min(m_aloneDelay * 2, m_options.queryInterval);
    return delay;
}

bool MemberProtocol::isQueryDue(MonotonicTime now) const
{
    return isAlone() || (m_members.role() != MemberRole::Follower && now - m_lastQuery >= m_options.queryInterval);
}

void MemberProtocol::announce(MonotonicTime now)
{
    updateOwnState();
    std::vector<Ipv4Address> receivers;
    for (const Member& member : m_members.heartbeatDestinations(now))
        receivers.push_back(member.viewAddress.address);
    if (!receivers.empty())
        m_sender.send(makeMessage(MemberMessageKind::Heartbeat, m_members.self().dataCentre), receivers);
}

void MemberProtocol::querySeeds(MonotonicTime now)
{
    m_lastQuery = now;
    std::vector<Ipv4Address> receivers;
    for (const Ipv4Endpoint& seed : m_seeds()) {
        if (seed.address != m_options.self)
            receivers.push_back(seed.address);
    }
    if (!receivers.empty())
        m_sender.send(makeMessage(MemberMessageKind::Query, m_members.self().dataCentre), receivers);
}

OwnMemberState MemberProtocol::updateOwnState()
{
    OwnMemberState state = m_observer.ownMemberState();
    m_members.setOwnState(state.hasView, state.leaving);
    return state;
}

MemberMessage MemberProtocol::makeMessage(MemberMessageKind kind, const DataCentreId& receiver)
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

} // namespace anvilwalk
