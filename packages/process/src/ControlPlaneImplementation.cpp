#include "ControlPlaneImplementation.h"

#include <algorithm>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    // Minimum time between a heartbeat and a following one that is sent early because of a change.
    constexpr auto minHeartbeatSpacing = 100ms;
    // Delay before the state is fetched again.
    constexpr auto fetchRetry = 600ms;
    // The planner iterates over all slots; this interval keeps it below 1 % of a core.
    constexpr auto planInterval = 200ms;
    // The object API counts as down after no live watcher has reached it for this long.
    constexpr auto storeDownTimeout = 3000ms;
    // Records of slots owned by other balancers are kept until the membership has been unchanged for this long.
    constexpr auto foreignRecordRetention = 5000ms;

    TablePlannerOptions plannerOptions(const ControlPlaneOptions& options)
    {
        return { .announceHold = options.announceHold,
            .applyWithoutEcho = options.testSwitches.applyWithoutAck,
            .settleWithRecords = options.testSwitches.settleWithRecords,
            .removeAnyNumber = options.testSwitches.removeAnyNumber };
    }

} // namespace

ControlPlane::Implementation::Implementation(
    const ControlPlaneOptions& options, const std::shared_ptr<FlowTable>& flows)
    : m_options(options)
    , m_membership(options)
    , m_directory(options.dataCentre)
    , m_monitor(options.testSwitches)
    , m_doubts(options.testSwitches)
    , m_records(options, flows)
    , m_clearance(options.self, flows)
    , m_tableAcks(options)
    , m_join(options)
    , m_writer(options)
    , m_planner(plannerOptions(options))
{
    m_state = buildState();
    m_published = m_state;
}

// Events.

void ControlPlane::Implementation::handleHeartbeat(const peer::Heartbeat& heartbeat, MonotonicTime now)
{
    if (!m_membership.handleHeartbeat(heartbeat, now))
        return;
    m_clearance.handleClaims(BalancerId(heartbeat.sender()), TableVersion(heartbeat.table_version()),
        { heartbeat.clear_slots().begin(), heartbeat.clear_slots().end() }, now);
    fetchNewerVersions(now);
    m_contact = m_membership.contact(m_history.version(), configVersion(), now);
}

void ControlPlane::Implementation::handleTable(const table::TableSet& table, StoreVersion version, MonotonicTime now)
{
    if (version != StoreVersion())
        m_writer.handleStoreTable(version);
    applyTable(table, now);
}

void ControlPlane::Implementation::applyTable(const table::TableSet& table, MonotonicTime now)
{
    const auto change = m_history.apply(table, now, m_options.testSwitches.acceptLowerVersions);
    if (!change)
        return;
    m_records.dropStable(change->settled);
    m_tableAcks.handleTable(m_history.version(), *change, m_records, now);
    m_doubts.handleTable(*m_history.current());
    m_monitor.handleTable(*m_history.current());
    m_clearance.invalidate();
    if (change->weightsChanged)
        m_weightsChangedAt = now;
    rebuildState(now);
}

void ControlPlane::Implementation::handleConfig(ConfigSnapshotPointer config, MonotonicTime now)
{
    if (!config || config->version() <= configVersion())
        return;
    m_config = std::move(config);
    rebuildState(now);
}

void ControlPlane::Implementation::handleVmList(const std::vector<VmEntry>& entries, MonotonicTime)
{
    m_directory.handleVmList(entries);
    m_membership.setListedEndpoints(m_directory.entryEndpoints());
}

void ControlPlane::Implementation::handleStoreReachable(bool reachable, MonotonicTime now)
{
    m_storeReachable = reachable;
    if (reachable)
        m_storeReachedAt = now;
}

void ControlPlane::Implementation::handleTableWritten(const Result<StoreVersion>& result, MonotonicTime now)
{
    const auto written = m_writer.handleTableWritten(result, now);
    if (written)
        applyTable(*written, now);
}

void ControlPlane::Implementation::handleRecordsFetched(
    const BalancerId& peer, const Result<peer::FetchRecordsResponse>& result, MonotonicTime now)
{
    // A balancer with incomplete records must not become settled, because peers treat the records of a settled balancer
    // as complete.
    const bool complete = isOk(result) && m_records.merge(valueOf(result), now);
    m_join.handleFetched(peer, complete, now);
}

void ControlPlane::Implementation::requestStop(MonotonicTime now)
{
    if (m_stopRequestedAt)
        return;
    m_stopRequestedAt = now;
    m_membership.setState(peer::MEMBER_STATE_LEAVING);
    rebuildState(now);
}

void ControlPlane::Implementation::tick(MonotonicTime now)
{
    m_now = now;
    tickMembership(now);
    m_monitor.tick(now);
    tickDoubts(now);
    if (m_stateChanged)
        rebuildState(now);
    tickRecords(now);
    fetchNewerVersions(now);
    tickWriter(now);
    tickHeartbeats(now);
}

void ControlPlane::Implementation::tickMembership(MonotonicTime now)
{
    if (m_membership.refresh(now)) {
        m_records.restart(now);
        m_membersChangedAt = now;
        m_foreignDropped = false;
        m_stateChanged = true;
    }
    const bool wasSettled = m_join.settled();
    const JoinProgress::Context context {
        .table = m_history.version(), .config = configVersion(), .order = orderIds()
    };
    if (m_join.tick(m_membership, context, now, m_actions)) {
        m_stateChanged = true;
        m_clearance.invalidate();
    }
    if (m_join.settled() && !wasSettled && m_join.returned()) {
        rebuildState(now);
        m_records.pushAll(*m_state, now);
    }
    m_contact = m_membership.contact(m_history.version(), configVersion(), now);
}

void ControlPlane::Implementation::tickDoubts(MonotonicTime now)
{
    if (m_doubts.update(m_monitor, m_membership, m_history.current(), storeDown(now), now)) {
        rebuildState(now);
        const std::uint64_t push
            = m_records.pushOpenings(m_doubts.slots(*m_history.current()), now - m_options.openingRetryWindow, now);
        m_doubtPush = { m_doubts.digest(), push };
    }
    if (m_doubtPush && m_records.isDone(m_doubtPush->second)) {
        m_doubts.confirm(m_doubtPush->first);
        m_doubtPush.reset();
    }
    if (m_doubts.activate(m_membership, m_history.current()))
        m_stateChanged = true;
}

bool ControlPlane::Implementation::storeDown(MonotonicTime now)
{
    const bool peerReaches = std::any_of(m_membership.members().begin(), m_membership.members().end(),
        [](const auto& entry) { return entry.second.storeReachable; });
    const bool selfReaches = m_watching.value_or(false) && m_storeReachable.value_or(true);
    if (peerReaches || selfReaches || !m_storeReachedAt)
        m_storeReachedAt = now;
    return now - *m_storeReachedAt > storeDownTimeout;
}

void ControlPlane::Implementation::tickRecords(MonotonicTime now)
{
    const std::size_t first = m_actions.size();
    m_records.tick(*m_state, now, m_actions);
    for (std::size_t i = first; i < m_actions.size(); ++i) {
        auto* push = std::get_if<PushRecordsTo>(&m_actions[i]);
        const Member* member = push ? m_membership.find(push->peer) : nullptr;
        if (member)
            push->controlEndpoint = member->controlEndpoint;
    }
    m_clearance.tick(*m_state, m_history, m_join.settled() && !m_stopRequestedAt, now);
    const bool quiet = now - m_membersChangedAt > foreignRecordRetention && m_records.idle() && m_join.settled();
    if (m_foreignDropped || !quiet || m_join.servesAlone())
        return;
    m_foreignDropped = true;
    m_records.dropReassigned(*m_state);
}

void ControlPlane::Implementation::fetchNewerVersions(MonotonicTime now)
{
    const auto newer = m_membership.newerPeers(m_history.version(), configVersion());
    if (newer.empty() || now < m_nextFetch)
        return;
    m_nextFetch = now + fetchRetry;
    // Peers are asked in round-robin order, because one may be unreachable.
    const Member& member = *newer[m_fetches++ % newer.size()];
    FetchStateFrom fetch { .peer = member.id, .controlEndpoint = member.controlEndpoint, .request = {} };
    fetch.request.set_known_config_version(configVersion().value());
    fetch.request.set_known_table_version(m_history.version().value());
    m_actions.emplace_back(std::move(fetch));
}

std::vector<BalancerId> ControlPlane::Implementation::watcherOrder() const
{
    std::vector<std::pair<std::uint64_t, BalancerId>> ranked;
    const auto add = [&](const BalancerId& id, peer::MemberState state) {
        if (state == peer::MEMBER_STATE_SETTLED)
            ranked.emplace_back(hashText(id.value(), hashText(m_options.dataCentre.value())), id);
    };
    add(m_options.self, m_membership.state());
    for (const auto& [id, member] : m_membership.members())
        add(id, member.state);
    std::sort(ranked.begin(), ranked.end());
    std::vector<BalancerId> order;
    for (const auto& [rank, id] : ranked) {
        if (order.size() < m_options.watchers)
            order.push_back(id);
    }
    return order;
}

void ControlPlane::Implementation::tickWriter(MonotonicTime now)
{
    const std::vector<BalancerId> watchers = watcherOrder();
    const bool named = std::find(watchers.begin(), watchers.end(), m_options.self) != watchers.end();
    const bool watch = named || (watchers.empty() && !m_stopRequestedAt);
    if (m_watching != watch) {
        m_watching = watch;
        m_watchingSince = now;
        m_storeReachable.reset();
        m_actions.emplace_back(SetWatching { watch });
    }
    // The second watcher takes over only if the first one does not acquire the lease.
    const bool first = named && watchers.front() == m_options.self;
    const bool takesOver = named && now - m_watchingSince > m_options.leaseDuration && m_writer.leaseIsStale(now);
    const bool mayLease = (first || takesOver || m_writer.holdsLease(now)) && watch && m_config;
    m_writer.tickLease(mayLease && m_storeReachable.value_or(true) && m_join.settled(), m_membership, now, m_actions);
    if (now >= m_nextPlan && watch && m_writer.mayWrite(now)) {
        m_nextPlan = now + planInterval;
        planTable(now);
    }
}

void ControlPlane::Implementation::planTable(MonotonicTime now)
{
    if (!m_config || !m_directory.complete(*m_config) || !m_storeReachable.value_or(true))
        return;
    // Waits until every balancer has acknowledged all applied doubts, because a table may include a doubt only when it
    // is in effect everywhere.
    const bool agreed = m_doubts.ackedDigest() == m_doubts.digest() && m_membership.allAckedDoubts(m_doubts.digest());
    if (!agreed)
        return;
    auto next = m_planner.plan(m_history.current(), plannerInput(now));
    if (next)
        m_writer.write(std::move(*next), m_actions);
}

PlannerInput ControlPlane::Implementation::plannerInput(MonotonicTime now)
{
    std::set<TargetId> doubtedTargets = m_monitor.doubted();
    for (const auto& [id, member] : m_membership.members())
        doubtedTargets.insert(member.doubtedTargets.begin(), member.doubtedTargets.end());
    const TableVersion own = m_tableAcks.acked(m_records);
    PlannerInput input;
    input.dataCentre = m_options.dataCentre;
    input.writer = m_options.self;
    input.config = m_config;
    input.targets = m_directory.knownTargets(*m_config, m_history.current(), m_monitor, doubtedTargets);
    input.echoedByAll = std::min(own, m_membership.lowestAckedTable().value_or(own));
    input.sinceAnnounced = [this, now](ServiceId service, SlotIndex slot) {
        return m_history.sinceAnnounced({ service, slot }, now);
    };
    input.sinceMoving = [this, now](ServiceId service, SlotIndex slot) {
        return m_history.sinceMoving({ service, slot }, now);
    };
    input.clearOfOlderRecords = [this, now](ServiceId service, SlotIndex slot) {
        return m_clearance.isClear(*m_state, { service, slot }, now);
    };
    input.agreedDoubts.insert(m_doubts.allInEffect().begin(), m_doubts.allInEffect().end());
    for (const auto& [target, since] : m_doubts.applied())
        input.appliedDoubts.insert(target);
    input.mayStepWeights = now - m_weightsChangedAt >= m_options.weightStepInterval;
    return input;
}

// Routing state.

void ControlPlane::Implementation::rebuildState(MonotonicTime now)
{
    m_stateChanged = false;
    const auto before = m_state;
    m_state = buildState();
    m_records.pushReassigned(*before, *m_state, now);
    auto published = std::make_shared<RoutingState>(*m_state);
    if (!m_join.mayRoute())
        published->table = nullptr;
    m_published = std::move(published);
}

std::shared_ptr<RoutingState> ControlPlane::Implementation::buildState() const
{
    auto state = std::make_shared<RoutingState>();
    state->self = m_options.self;
    state->selfLeaving = m_stopRequestedAt.has_value();
    state->config = m_config;
    state->table = m_history.current();
    const auto add = [&](const BalancerId& id, const Ipv4Endpoint& relay, peer::MemberState memberState) {
        if (memberState == peer::MEMBER_STATE_LEAVING)
            return;
        state->members.push_back({ .id = id,
            .key = hashText(id.value()),
            .relayEndpoint = relay,
            .settled = memberState == peer::MEMBER_STATE_SETTLED });
    };
    add(m_options.self, m_options.relayEndpoint, m_membership.state());
    for (const auto& [id, member] : m_membership.members())
        add(id, member.relayEndpoint, member.state);
    state->announcedAt = m_history.announcedAt();
    for (const auto& [target, since] : m_doubts.applied())
        state->doubts.emplace(
            target, DoubtState { .target = target, .agreed = m_doubts.inEffect(target), .since = since });
    if (state->table && !m_doubts.applied().empty()) {
        for (const SlotKey& key : m_doubts.slots(*state->table)) {
            const TargetId target = state->table->findService(key.first)->slots[key.second.value()];
            state->announcedAt.emplace(key, m_doubts.applied().at(target));
        }
    }
    state->hasLivePeers = m_membership.knewPeers() && !m_join.servesAlone();
    state->servesAlone = m_join.servesAlone();
    return state;
}

std::vector<BalancerId> ControlPlane::Implementation::orderIds() const
{
    std::vector<BalancerId> ids { m_options.self };
    for (const auto& [id, member] : m_membership.members()) {
        if (member.state != peer::MEMBER_STATE_LEAVING)
            ids.push_back(id);
    }
    return ids;
}

// Heartbeats.

std::string ControlPlane::Implementation::heartbeatSummary()
{
    std::string summary = std::to_string(m_tableAcks.acked(m_records).value()) + "/"
        + std::to_string(m_history.version().value()) + "/" + std::to_string(configVersion().value()) + "/"
        + std::to_string(m_membership.state()) + "/" + std::to_string(m_membership.incarnation().value()) + "/"
        + std::to_string(m_doubts.ackedDigest()) + "/" + std::to_string(m_doubts.digest());
    for (const auto& [id, member] : m_membership.members())
        summary += "/" + std::to_string(member.incarnation.value()) + ":" + std::to_string(member.state);
    return summary;
}

void ControlPlane::Implementation::tickHeartbeats(MonotonicTime now)
{
    const std::string summary = heartbeatSummary();
    const bool changed = summary != m_sentSummary && now - m_lastHeartbeat >= minHeartbeatSpacing;
    if (now < m_nextHeartbeat && !changed)
        return;
    // An early heartbeat does not shift the regular ones, so that the acknowledgements of peers stay spread over the
    // interval.
    if (now >= m_nextHeartbeat)
        m_nextHeartbeat = now + m_options.heartbeatInterval;
    m_lastHeartbeat = now;
    m_sentSummary = summary;
    sendHeartbeats(now);
}

void ControlPlane::Implementation::sendHeartbeats(MonotonicTime now)
{
    const peer::Heartbeat heartbeat = buildHeartbeat(now);
    std::vector<Ipv4Endpoint> endpoints = m_membership.heartbeatEndpoints();
    const std::vector<std::uint64_t> claims = m_clearance.nextClaims();
    if (!claims.empty()) {
        peer::Heartbeat withClaims = heartbeat;
        withClaims.mutable_clear_slots()->Add(claims.begin(), claims.end());
        SendHeartbeat send { .controlEndpoints = {}, .heartbeat = std::move(withClaims) };
        for (const BalancerId& id : watcherOrder()) {
            const Member* member = m_membership.find(id);
            if (!member)
                continue;
            send.controlEndpoints.push_back(member->controlEndpoint);
            std::erase(endpoints, member->controlEndpoint);
        }
        if (!send.controlEndpoints.empty())
            m_actions.emplace_back(std::move(send));
    }
    if (!endpoints.empty())
        m_actions.emplace_back(SendHeartbeat { .controlEndpoints = std::move(endpoints), .heartbeat = heartbeat });
}

peer::Heartbeat ControlPlane::Implementation::buildHeartbeat(MonotonicTime now)
{
    peer::Heartbeat heartbeat;
    m_membership.fillHeartbeat(heartbeat, m_tableAcks.acked(m_records), configVersion(), now);
    if (m_history.version().value() != heartbeat.table_version())
        heartbeat.set_applied_table_version(m_history.version().value());
    for (const TargetId target : m_monitor.doubted())
        heartbeat.add_doubted_targets(target.value());
    for (const auto& [target, since] : m_doubts.applied())
        heartbeat.add_applied_doubts(target.value());
    heartbeat.set_doubt_digest(m_doubts.ackedDigest());
    heartbeat.set_store_reachable(m_watching.value_or(false) && m_storeReachable.value_or(false));
    return heartbeat;
}

// Responses.

peer::FetchStateResponse ControlPlane::Implementation::answerFetchState(const peer::FetchStateRequest& request) const
{
    peer::FetchStateResponse response;
    if (m_config) {
        response.set_config_version(configVersion().value());
        if (configVersion().value() > request.known_config_version()) {
            response.set_index_json(m_config->source().indexJson);
            for (const std::string& revision : m_config->source().revisionJson)
                response.add_revision_json(revision);
        }
    }
    if (m_history.current() && m_history.version().value() > request.known_table_version())
        *response.mutable_table() = m_history.current()->message();
    return response;
}

peer::FetchRecordsResponse ControlPlane::Implementation::answerFetchRecords(
    const peer::FetchRecordsRequest& request, MonotonicTime now) const
{
    return m_records.answerFetch(*m_state, request, now);
}

peer::PushRecordsResponse ControlPlane::Implementation::answerPushRecords(
    const peer::PushRecordsRequest& request, MonotonicTime now)
{
    m_clearance.invalidate();
    return m_records.answerPush(request, now);
}

bool ControlPlane::Implementation::ready(MonotonicTime now) const
{
    if (m_stopRequestedAt || !m_published->table || !m_published->config || m_join.servesAlone())
        return false;
    return !m_published->hasLivePeers || now - m_contact <= m_options.fenceAfter;
}

bool ControlPlane::Implementation::stopComplete(MonotonicTime now) const
{
    if (!m_stopRequestedAt)
        return false;
    if (now - *m_stopRequestedAt >= m_options.stopDeadline || m_membership.members().empty())
        return true;
    return m_membership.leavingKnownToAll() && m_records.idle();
}

} // namespace anvilwalk
