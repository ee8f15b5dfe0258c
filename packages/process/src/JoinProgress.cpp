#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    // Delay before the first record request. Packets routed by peers without this balancer may still be in flight.
    constexpr auto fetchDelay = 100ms;
    constexpr auto fetchRetry = 500ms;

} // namespace

JoinProgress::JoinProgress(const ControlPlaneOptions& options)
    : m_options(options)
{
}

bool JoinProgress::tick(
    Membership& membership, const Context& context, MonotonicTime now, std::vector<ControlAction>& actions)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (membership.state() == peer::MEMBER_STATE_LEAVING)
        return false;
    if (restartIfLost(membership, context, now))
        return true;
    const bool wasKnown
        = std::exchange(m_knownToAll, membership.knownToAll(now) || m_options.testSwitches.routeBeforeAdmission);
    if (!m_admitted)
        return tryServeAlone(membership, context, now) || tryAdmit(membership, context, now);
    if (m_settled)
        return false;
    return trySettle(membership, context, now, actions) || wasKnown != m_knownToAll;
}

bool JoinProgress::restartIfLost(Membership& membership, const Context& context, MonotonicTime now)
{
    if (membership.declaredDead()) {
        restart(membership, now);
        return true;
    }
    if (!m_admitted)
        return false;
    if (m_alone) {
        if (membership.members().empty())
            return false;
        // Peers have appeared that do not know this balancer yet.
        restart(membership, now);
        return true;
    }
    if (!membership.knewPeers())
        return false;
    if (now - membership.contact(context.table, context.config, now) <= m_options.fenceAfter)
        return false;
    restart(membership, now);
    return true;
}

void JoinProgress::restart(Membership& membership, MonotonicTime now)
{
    membership.startIncarnation(now);
    m_returned = m_returned || m_admitted;
    m_admitted = false;
    m_settled = false;
    m_alone = false;
    m_servesAlone = false;
    m_lostAt = now;
    m_firstPeerAt.reset();
    m_fetched.clear();
}

bool JoinProgress::tryServeAlone(Membership& membership, const Context&, MonotonicTime now)
{
    if (!membership.members().empty()) {
        m_lostAt = now;
        return false;
    }
    m_firstPeerAt.reset();
    const bool mayHavePeers = membership.knewPeers() || membership.expectsPeers();
    const MonotonicTime since = std::max(m_lostAt, *m_startedAt);
    if (mayHavePeers && now - since < m_options.serveAloneAfter)
        return false;
    m_alone = true;
    m_admitted = true;
    m_settled = true;
    m_servesAlone = membership.knewPeers();
    membership.setState(peer::MEMBER_STATE_SETTLED);
    return true;
}

bool JoinProgress::tryAdmit(Membership& membership, const Context& context, MonotonicTime now)
{
    if (membership.members().empty())
        return false;
    if (!m_firstPeerAt)
        m_firstPeerAt = now;
    // Peers that join at the same time may not know all others yet. If no settled peer has been heard within
    // deadAfter, there is none.
    const bool coldStart = now - *m_firstPeerAt > m_options.deadAfter;
    const bool introduced = membership.knownToSettled() || coldStart || m_options.testSwitches.routeBeforeAdmission;
    if (!introduced || !m_knownToAll || !membership.newerPeers(context.table, context.config).empty())
        return false;
    m_admitted = true;
    m_fetchAt = now + fetchDelay;
    startRound(context);
    return true;
}

void JoinProgress::startRound(const Context& context)
{
    ++m_round;
    m_roundOrder = { context.order.begin(), context.order.end() };
    m_fetched.clear();
    m_retryAt.clear();
}

bool JoinProgress::trySettle(
    Membership& membership, const Context& context, MonotonicTime now, std::vector<ControlAction>& actions)
{
    if (now < m_fetchAt || !m_knownToAll)
        return false;
    const std::set<BalancerId> order(context.order.begin(), context.order.end());
    // If a member of the round's order is gone, this balancer may own slots whose records it has not requested.
    if (!std::includes(order.begin(), order.end(), m_roundOrder.begin(), m_roundOrder.end()))
        startRound(context);
    bool complete = true;
    for (const auto& [id, member] : membership.members()) {
        if (m_fetched.contains(id) || m_options.testSwitches.settleWithoutFetch)
            continue;
        complete = false;
        const auto retry = m_retryAt.find(id);
        if (m_outstanding.contains(id) || (retry != m_retryAt.end() && now < retry->second))
            continue;
        FetchRecordsFrom fetch { .peer = id, .controlEndpoint = member.controlEndpoint, .request = {} };
        fetch.request.set_requester(m_options.self.value());
        for (const BalancerId& name : m_roundOrder)
            fetch.request.add_order_members(name.value());
        m_outstanding[id] = m_round;
        actions.emplace_back(std::move(fetch));
    }
    if (!complete)
        return false;
    m_settled = true;
    membership.setState(peer::MEMBER_STATE_SETTLED);
    return true;
}

bool JoinProgress::handleFetched(const BalancerId& peer, bool ok, MonotonicTime now)
{
    const auto outstanding = m_outstanding.find(peer);
    const bool present = outstanding != m_outstanding.end() && outstanding->second == m_round;
    m_outstanding.erase(peer);
    if (ok && present)
        m_fetched.insert(peer);
    else
        m_retryAt[peer] = now + fetchRetry;
    return ok;
}

} // namespace anvilwalk
