#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    // Sent heartbeats kept to look up the send time of an acknowledged one; more than are sent within deadAfter.
    constexpr std::size_t maxSentHeartbeats = 64;
    // Time after a membership change during which heartbeats carry the addresses of all members.
    constexpr auto detailsDuration = std::chrono::milliseconds(2000);
    // Own addresses are repeated in every fifth heartbeat for receivers that missed the change.
    constexpr std::uint64_t ownDetailsPeriod = 5;
    // Minimum time between the stop of a fenced balancer and the earliest time at which a peer can declare it dead.
    constexpr auto fenceMargin = std::chrono::milliseconds(100);
    // A failed balancer still gets heartbeats for this long, so that the members find each other after a network
    // partition without the VM list.
    constexpr auto probeDuration = std::chrono::minutes(10);

    Ipv4Endpoint parseOr(const std::string& text, Ipv4Endpoint fallback)
    {
        return Ipv4Endpoint::parse(text).value_or(fallback);
    }

    std::vector<TargetId> targetIds(const google::protobuf::RepeatedField<std::uint32_t>& values)
    {
        std::vector<TargetId> ids;
        for (const std::uint32_t value : values)
            ids.emplace_back(value);
        return ids;
    }

} // namespace

Membership::Membership(const ControlPlaneOptions& options)
    : m_options(options)
    , m_incarnation(options.incarnation)
{
}

std::uint32_t Membership::identityOf(const BalancerId& id, Incarnation incarnation)
{
    return static_cast<std::uint32_t>(hashText(id.value(), incarnation.value()));
}

const Member* Membership::find(const BalancerId& id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

bool Membership::handleHeartbeat(const peer::Heartbeat& heartbeat, MonotonicTime now)
{
    Member* member = admit(heartbeat, now);
    if (!member)
        return false;
    if (member->heardAt && heartbeat.sequence() <= member->heardSequence)
        return true;
    if (member->state != heartbeat.state())
        m_changed = true;
    member->state = heartbeat.state();
    member->heardAt = now;
    member->heardSequence = heartbeat.sequence();
    member->packetEndpoint = parseOr(heartbeat.packet_address(), member->packetEndpoint);
    member->relayEndpoint = parseOr(heartbeat.relay_address(), member->relayEndpoint);
    member->controlEndpoint = parseOr(heartbeat.control_address(), member->controlEndpoint);
    member->ackedTable = std::max(member->ackedTable, TableVersion(heartbeat.table_version()));
    member->config = std::max(member->config, ConfigVersion(heartbeat.config_version()));
    const std::uint64_t shown = std::max(heartbeat.applied_table_version(), heartbeat.table_version());
    member->appliedTable = std::max(member->appliedTable, TableVersion(shown));
    member->doubtDigest = heartbeat.doubt_digest();
    member->doubtedTargets = targetIds(heartbeat.doubted_targets());
    member->appliedDoubts = targetIds(heartbeat.applied_doubts());
    member->storeReachable = heartbeat.store_reachable();
    member->reports.clear();
    for (const peer::PeerObservation& observation : heartbeat.peers())
        readObservation(*member, heartbeat, observation, now);
    return true;
}

// Returns the sender of the heartbeat, which is added if it is new, or null if the heartbeat must be ignored.
Member* Membership::admit(const peer::Heartbeat& heartbeat, MonotonicTime now)
{
    const BalancerId sender(heartbeat.sender());
    const Incarnation incarnation(heartbeat.incarnation());
    if (sender == m_options.self || sender.value().empty())
        return nullptr;
    if (!heartbeat.data_centre().empty() && heartbeat.data_centre() != m_options.dataCentre.value())
        return nullptr;
    const auto dead = m_dead.find(sender);
    if (dead != m_dead.end() && incarnation <= dead->second) {
        m_deadSenders[sender] = { incarnation, now };
        return nullptr;
    }
    const auto found = m_members.find(sender);
    if (found != m_members.end() && found->second.incarnation == incarnation)
        return &found->second;
    if (found != m_members.end() && incarnation < found->second.incarnation)
        return nullptr;
    if (!Ipv4Endpoint::parse(heartbeat.control_address()) || !Ipv4Endpoint::parse(heartbeat.relay_address()))
        return nullptr;
    m_changed = true;
    Member& member = m_members[sender];
    member = Member {};
    member.id = sender;
    member.incarnation = incarnation;
    member.firstSeen = now;
    return &member;
}

void Membership::readObservation(
    Member& reporter, const peer::Heartbeat& heartbeat, const peer::PeerObservation& observation, MonotonicTime now)
{
    if (observation.balancer() == m_options.self.value()
        || observation.identity() == identityOf(m_options.self, m_incarnation)) {
        readSelfObservation(reporter, observation);
        return;
    }
    if (observation.state() == peer::MEMBER_STATE_DEAD)
        return;
    Member* member = findObserved(observation, now);
    if (!member || member == &reporter)
        return;
    reporter.reports[member->id] = { member->incarnation, std::chrono::milliseconds(observation.heard_ms_ago()) };
    const bool same = observation.same_versions();
    const std::uint64_t table = same ? heartbeat.table_version() : observation.table_version();
    const std::uint64_t config = same ? heartbeat.config_version() : observation.config_version();
    member->ackedTable = std::max(member->ackedTable, TableVersion(table));
    member->config = std::max(member->config, ConfigVersion(config));
    member->appliedTable = std::max(member->appliedTable, member->ackedTable);
    if (member->heardAt && now - *member->heardAt <= m_options.deadAfter)
        return;
    // The member has not been heard directly for deadAfter, so the reporter's view is used.
    if (member->state != observation.state())
        m_changed = true;
    member->state = observation.state();
    member->doubtDigest = observation.doubt_digest();
}

void Membership::readSelfObservation(Member& reporter, const peer::PeerObservation& observation)
{
    const bool present = observation.identity() == identityOf(m_options.self, m_incarnation)
        || observation.incarnation() == m_incarnation.value();
    if (!present)
        return;
    if (observation.state() == peer::MEMBER_STATE_DEAD) {
        m_declaredDead = true;
        return;
    }
    reporter.ackedSelfState = observation.state();
    for (const auto& [sequence, time] : m_sent) {
        if (sequence <= observation.heard_sequence())
            reporter.ackedSendTime = time;
    }
}

// Returns the member named by an observation. Adds an unknown one if its addresses are given.
Member* Membership::findObserved(const peer::PeerObservation& observation, MonotonicTime now)
{
    if (observation.balancer().empty()) {
        for (auto& [id, member] : m_members) {
            if (identityOf(id, member.incarnation) == observation.identity())
                return &member;
        }
        return nullptr;
    }
    const BalancerId id(observation.balancer());
    const Incarnation incarnation(observation.incarnation());
    const auto found = m_members.find(id);
    if (found != m_members.end())
        return found->second.incarnation == incarnation ? &found->second : nullptr;
    const auto dead = m_dead.find(id);
    const bool known = dead != m_dead.end() && incarnation <= dead->second;
    const bool recent = std::chrono::milliseconds(observation.heard_ms_ago()) <= m_options.deadAfter;
    const auto relay = Ipv4Endpoint::parse(observation.relay_address());
    const auto control = Ipv4Endpoint::parse(observation.control_address());
    if (known || !recent || !relay || !control)
        return nullptr;
    m_changed = true;
    Member& member = m_members[id];
    member.id = id;
    member.incarnation = incarnation;
    member.state = observation.state();
    member.relayEndpoint = *relay;
    member.controlEndpoint = *control;
    member.packetEndpoint = parseOr(observation.packet_address(), {});
    member.firstSeen = now;
    return &member;
}

bool Membership::refresh(MonotonicTime now)
{
    // Missing heartbeats are no evidence of failed peers after a pause of this balancer: heartbeats that arrived during
    // the pause must be read first.
    const bool paused = m_lastRefresh != MonotonicTime() && now - m_lastRefresh > m_options.fenceAfter;
    m_lastRefresh = now;
    if (paused)
        m_graceUntil = now + m_options.deadAfter;
    std::vector<BalancerId> dead;
    for (const auto& [id, member] : m_members) {
        if (now >= m_graceUntil && !heardByAny(member, now))
            dead.push_back(id);
    }
    for (const BalancerId& id : dead)
        remove(id, now);
    if (!m_members.empty())
        m_knewPeers = true;
    if (m_changed)
        m_detailsUntil = now + detailsDuration;
    return std::exchange(m_changed, false);
}

// Reports do not expire: a peer that still hears the member repeats its report, or is dead itself.
bool Membership::heardByAny(const Member& member, MonotonicTime now) const
{
    const auto heardDirectly
        = [&](const Member& m) { return now - m.heardAt.value_or(m.firstSeen) <= m_options.deadAfter; };
    if (heardDirectly(member))
        return true;
    if (m_options.testSwitches.directLivenessOnly)
        return false;
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
        const Member& reporter = entry.second;
        if (&reporter == &member || !reporter.heardAt || !heardDirectly(reporter))
            return false;
        const auto report = reporter.reports.find(member.id);
        return report != reporter.reports.end() && report->second.incarnation == member.incarnation
            && report->second.heardAgo <= m_options.deadAfter;
    });
}

void Membership::remove(const BalancerId& id, MonotonicTime now)
{
    const Member& member = m_members.at(id);
    m_dead[id] = std::max(m_dead[id], member.incarnation);
    if (member.state != peer::MEMBER_STATE_LEAVING)
        m_formerEndpoints[id] = { member.controlEndpoint, now };
    const bool left = member.state == peer::MEMBER_STATE_LEAVING;
    m_members.erase(id);
    m_changed = true;
    // After a planned leave of the last peer this balancer is alone. A peer that fell silent may be behind a network
    // partition instead.
    if (left && m_members.empty() && m_formerEndpoints.empty())
        m_knewPeers = false;
}

std::optional<TableVersion> Membership::lowestAckedTable() const
{
    std::optional<TableVersion> lowest;
    for (const auto& [id, member] : m_members)
        lowest = lowest ? std::min(*lowest, member.ackedTable) : member.ackedTable;
    return lowest;
}

bool Membership::allAckedDoubts(std::uint64_t digest) const
{
    return std::all_of(
        m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.doubtDigest == digest; });
}

bool Membership::knownToAll(MonotonicTime now) const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
        const Member& member = entry.second;
        // A member that this balancer cannot hear directly learns of it from members that both can hear.
        const bool heardOnlyIndirectly = !member.heardAt && now - member.firstSeen > m_options.serveAloneAfter;
        return member.ackedSelfState.has_value() || heardOnlyIndirectly;
    });
}

bool Membership::knownToSettled() const
{
    return std::any_of(m_members.begin(), m_members.end(), [](const auto& entry) {
        return entry.second.state == peer::MEMBER_STATE_SETTLED && entry.second.ackedSelfState.has_value();
    });
}

bool Membership::leavingKnownToAll() const
{
    return std::all_of(m_members.begin(), m_members.end(), [](const auto& entry) {
        return entry.second.ackedSelfState == peer::MEMBER_STATE_LEAVING || !entry.second.heardAt;
    });
}

std::vector<const Member*> Membership::newerPeers(TableVersion table, ConfigVersion config) const
{
    std::vector<const Member*> newer;
    for (const auto& [id, member] : m_members) {
        if (member.appliedTable > table || member.config > config)
            newer.push_back(&member);
    }
    return newer;
}

MonotonicTime Membership::contact(TableVersion table, ConfigVersion config, MonotonicTime now)
{
    for (const auto& [id, member] : m_members) {
        if (member.appliedTable > table || member.config > config)
            continue;
        if (m_options.testSwitches.contactWithoutAck && member.heardAt)
            m_contact = std::max(m_contact, *member.heardAt);
        if (!member.ackedSendTime)
            continue;
        // The peer declares this balancer dead no earlier than deadAfter past the send time. The packet path stops
        // fenceAfter past the contact, which must happen first.
        const auto slack = m_options.deadAfter - m_options.fenceAfter - fenceMargin;
        m_contact = std::max(m_contact, std::min(now, *member.ackedSendTime + slack));
    }
    return m_contact;
}

void Membership::startIncarnation(MonotonicTime now)
{
    m_incarnation = Incarnation(m_incarnation.value() + 1);
    m_state = peer::MEMBER_STATE_UNSETTLED;
    m_declaredDead = false;
    m_sent.clear();
    m_sequence = 0;
    for (auto& [id, member] : m_members) {
        member.ackedSelfState.reset();
        member.ackedSendTime.reset();
    }
    m_detailsUntil = now + detailsDuration;
    m_changed = true;
}

void Membership::fillHeartbeat(peer::Heartbeat& heartbeat, TableVersion acked, ConfigVersion config, MonotonicTime now)
{
    ++m_sequence;
    m_sent.emplace_back(m_sequence, now);
    if (m_sent.size() > maxSentHeartbeats)
        m_sent.pop_front();
    heartbeat.set_sender(m_options.self.value());
    heartbeat.set_incarnation(m_incarnation.value());
    heartbeat.set_state(m_state);
    heartbeat.set_sequence(m_sequence);
    heartbeat.set_table_version(acked.value());
    heartbeat.set_config_version(config.value());
    const bool changedLately = now < m_detailsUntil;
    if (changedLately || m_state == peer::MEMBER_STATE_UNSETTLED || m_members.empty()
        || m_sequence % ownDetailsPeriod == 0) {
        heartbeat.set_data_centre(m_options.dataCentre.value());
        heartbeat.set_packet_address(m_options.packetEndpoint.toString());
        heartbeat.set_relay_address(m_options.relayEndpoint.toString());
        heartbeat.set_control_address(m_options.controlEndpoint.toString());
    }
    std::size_t index = 0;
    for (const auto& [id, member] : m_members) {
        // Each heartbeat repeats the addresses of one member, in round-robin order.
        const bool inTurn = index++ == m_sequence % m_members.size();
        if (member.heardAt)
            addObservation(heartbeat, member, changedLately || inTurn, now);
    }
    std::erase_if(m_deadSenders, [&](const auto& entry) { return now - entry.second.second > m_options.deadAfter; });
    for (const auto& [id, entry] : m_deadSenders) {
        peer::PeerObservation& observation = *heartbeat.add_peers();
        observation.set_identity(identityOf(id, entry.first));
        observation.set_state(peer::MEMBER_STATE_DEAD);
    }
}

void Membership::addObservation(peer::Heartbeat& heartbeat, const Member& member, bool details, MonotonicTime now) const
{
    peer::PeerObservation& observation = *heartbeat.add_peers();
    const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - *member.heardAt);
    observation.set_identity(identityOf(member.id, member.incarnation));
    observation.set_heard_ms_ago(static_cast<std::uint32_t>(std::max<std::int64_t>(ago.count(), 0)));
    observation.set_heard_sequence(member.heardSequence);
    observation.set_state(member.state);
    observation.set_doubt_digest(member.doubtDigest);
    const bool same
        = member.ackedTable.value() == heartbeat.table_version() && member.config.value() == heartbeat.config_version();
    observation.set_same_versions(same);
    if (!same) {
        observation.set_table_version(member.ackedTable.value());
        observation.set_config_version(member.config.value());
    }
    if (!details)
        return;
    observation.set_balancer(member.id.value());
    observation.set_incarnation(member.incarnation.value());
    observation.set_packet_address(member.packetEndpoint.toString());
    observation.set_relay_address(member.relayEndpoint.toString());
    observation.set_control_address(member.controlEndpoint.toString());
}

std::vector<Ipv4Endpoint> Membership::heartbeatEndpoints() const
{
    std::vector<Ipv4Endpoint> endpoints = m_options.seeds;
    endpoints.insert(endpoints.end(), m_listedEndpoints.begin(), m_listedEndpoints.end());
    for (const auto& [id, member] : m_members)
        endpoints.push_back(member.controlEndpoint);
    for (const auto& [id, former] : m_formerEndpoints) {
        if (m_lastRefresh - former.second < probeDuration)
            endpoints.push_back(former.first);
    }
    std::sort(endpoints.begin(), endpoints.end());
    endpoints.erase(std::unique(endpoints.begin(), endpoints.end()), endpoints.end());
    std::erase(endpoints, m_options.controlEndpoint);
    return endpoints;
}

bool Membership::expectsPeers() const
{
    const auto others = [&](const std::vector<Ipv4Endpoint>& endpoints) {
        return std::any_of(endpoints.begin(), endpoints.end(),
            [&](const Ipv4Endpoint& endpoint) { return endpoint != m_options.controlEndpoint; });
    };
    return !m_listKnown || others(m_options.seeds) || others(m_listedEndpoints);
}

} // namespace anvilwalk
