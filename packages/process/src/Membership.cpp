#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    // Heartbeats that are kept to date an echo; more than are sent before the silence counts as death.
    constexpr std::size_t sentHeartbeatsKept = 64;
    // Time after a change during which heartbeats carry the addresses of all members.
    constexpr auto detailsAfterChange = std::chrono::milliseconds(2000);
    // Own addresses are repeated in each fifth heartbeat for receivers that missed the change.
    constexpr std::uint64_t ownDetailsEvery = 5;
    // Margin by which a balancer stops before a peer can declare it dead.
    constexpr auto fenceMargin = std::chrono::milliseconds(100);
    // A balancer that died is probed this long, so that a cut heals without the VM list.
    constexpr auto probeFormer = std::chrono::minutes(10);

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

Membership::Membership(const CellControllerOptions& options)
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
    member->echoedTable = std::max(member->echoedTable, TableVersion(heartbeat.table_version()));
    member->config = std::max(member->config, ConfigVersion(heartbeat.config_version()));
    const std::uint64_t shown = std::max(heartbeat.applied_table_version(), heartbeat.table_version());
    member->shownTable = std::max(member->shownTable, TableVersion(shown));
    member->doubtDigest = heartbeat.doubt_digest();
    member->suspects = targetIds(heartbeat.doubted_targets());
    member->appliedDoubts = targetIds(heartbeat.applied_doubts());
    member->storeReachable = heartbeat.store_reachable();
    member->reports.clear();
    for (const peer::PeerObservation& observation : heartbeat.peers())
        readObservation(*member, heartbeat, observation, now);
    return true;
}

// The member that sent the heartbeat; added if it is new, null if the heartbeat is to be ignored.
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
    member->echoedTable = std::max(member->echoedTable, TableVersion(table));
    member->config = std::max(member->config, ConfigVersion(config));
    member->shownTable = std::max(member->shownTable, member->echoedTable);
    if (member->heardAt && now - *member->heardAt <= m_options.deadAfter)
        return;
    // Not heard directly for a while: what the reporter says is the best there is.
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
    reporter.echoedSelf = observation.state();
    for (const auto& [sequence, time] : m_sent) {
        if (sequence <= observation.heard_sequence())
            reporter.echoedSendTime = time;
    }
}

// The member that an observation names. An unknown one is added if its addresses are given.
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
    // After a pause of this balancer its own silence is no evidence of the peers' death: the heartbeats that came
    // meanwhile are read first.
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
        m_detailsUntil = now + detailsAfterChange;
    return std::exchange(m_changed, false);
}

// Reports of peers are not aged: a peer that still hears the member says so again, or is dead itself.
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
    // A last peer that left as planned leaves this balancer alone; one that fell silent may be behind a cut.
    if (left && m_members.empty() && m_formerEndpoints.empty())
        m_knewPeers = false;
}

std::optional<TableVersion> Membership::lowestEchoedTable() const
{
    std::optional<TableVersion> lowest;
    for (const auto& [id, member] : m_members)
        lowest = lowest ? std::min(*lowest, member.echoedTable) : member.echoedTable;
    return lowest;
}

bool Membership::allEchoedDoubts(std::uint64_t digest) const
{
    return std::all_of(
        m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.doubtDigest == digest; });
}

bool Membership::knownToAll(MonotonicTime now) const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
        const Member& member = entry.second;
        // A member that this balancer cannot hear learns of it from those that both hear.
        const bool onlyByOthers = !member.heardAt && now - member.firstSeen > m_options.serveAloneAfter;
        return member.echoedSelf.has_value() || onlyByOthers;
    });
}

bool Membership::knownToSettled() const
{
    return std::any_of(m_members.begin(), m_members.end(), [](const auto& entry) {
        return entry.second.state == peer::MEMBER_STATE_SETTLED && entry.second.echoedSelf.has_value();
    });
}

bool Membership::leavingKnownToAll() const
{
    return std::all_of(m_members.begin(), m_members.end(), [](const auto& entry) {
        return entry.second.echoedSelf == peer::MEMBER_STATE_LEAVING || !entry.second.heardAt;
    });
}

std::vector<const Member*> Membership::newerPeers(TableVersion table, ConfigVersion config) const
{
    std::vector<const Member*> newer;
    for (const auto& [id, member] : m_members) {
        if (member.shownTable > table || member.config > config)
            newer.push_back(&member);
    }
    return newer;
}

MonotonicTime Membership::contact(TableVersion table, ConfigVersion config, MonotonicTime now)
{
    for (const auto& [id, member] : m_members) {
        if (member.shownTable > table || member.config > config)
            continue;
        if (m_options.testSwitches.contactWithoutEcho && member.heardAt)
            m_contact = std::max(m_contact, *member.heardAt);
        if (!member.echoedSendTime)
            continue;
        // The peer declares this balancer dead no sooner than deadAfter past the send time. The packet path stops
        // fenceAfter past the contact, which is to come first.
        const auto slack = m_options.deadAfter - m_options.fenceAfter - fenceMargin;
        m_contact = std::max(m_contact, std::min(now, *member.echoedSendTime + slack));
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
        member.echoedSelf.reset();
        member.echoedSendTime.reset();
    }
    m_detailsUntil = now + detailsAfterChange;
    m_changed = true;
}

void Membership::fillHeartbeat(peer::Heartbeat& heartbeat, TableVersion echoed, ConfigVersion config, MonotonicTime now)
{
    ++m_sequence;
    m_sent.emplace_back(m_sequence, now);
    if (m_sent.size() > sentHeartbeatsKept)
        m_sent.pop_front();
    heartbeat.set_sender(m_options.self.value());
    heartbeat.set_incarnation(m_incarnation.value());
    heartbeat.set_state(m_state);
    heartbeat.set_sequence(m_sequence);
    heartbeat.set_table_version(echoed.value());
    heartbeat.set_config_version(config.value());
    const bool changedLately = now < m_detailsUntil;
    if (changedLately || m_state == peer::MEMBER_STATE_UNSETTLED || m_members.empty()
        || m_sequence % ownDetailsEvery == 0) {
        heartbeat.set_data_centre(m_options.dataCentre.value());
        heartbeat.set_packet_address(m_options.packetEndpoint.toString());
        heartbeat.set_relay_address(m_options.relayEndpoint.toString());
        heartbeat.set_control_address(m_options.controlEndpoint.toString());
    }
    std::size_t index = 0;
    for (const auto& [id, member] : m_members) {
        // Each heartbeat repeats the addresses of one member in turn.
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
    const bool same = member.echoedTable.value() == heartbeat.table_version()
        && member.config.value() == heartbeat.config_version();
    observation.set_same_versions(same);
    if (!same) {
        observation.set_table_version(member.echoedTable.value());
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
        if (m_lastRefresh - former.second < probeFormer)
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
    return others(m_options.seeds) || others(m_listedEndpoints);
}

} // namespace anvilwalk
