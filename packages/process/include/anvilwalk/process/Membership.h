#pragma once

#include <anvilwalk/process/ControlPlane.h>

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <map>
#include <optional>

namespace anvilwalk {

// State of another balancer in its current incarnation.
struct Member {
    // This member's report on another one: time between the latest heartbeat received from it and the report.
    struct Report {
        Incarnation incarnation;
        std::chrono::milliseconds heardAgo {};
    };

    BalancerId id;
    Incarnation incarnation;
    peer::MemberState state = peer::MEMBER_STATE_UNSETTLED;
    Ipv4Endpoint packetEndpoint;
    Ipv4Endpoint relayEndpoint;
    Ipv4Endpoint controlEndpoint;
    // Highest versions acknowledged. A table version is acknowledged only after the recent openings of the slots that
    // it announces have been pushed to their owners.
    TableVersion ackedTable;
    ConfigVersion config;
    // Highest table version that the member has applied, acknowledged or not.
    TableVersion appliedTable;
    std::uint64_t doubtDigest = 0;
    std::vector<TargetId> doubtedTargets;
    std::vector<TargetId> appliedDoubts;
    bool storeReachable = false;
    // Unset if the member is known only from the reports of others.
    std::optional<MonotonicTime> heardAt;
    MonotonicTime firstSeen;
    std::uint64_t heardSequence = 0;
    // This balancer's state as the member last acknowledged it; unset until it acknowledges the current incarnation.
    std::optional<peer::MemberState> ackedSelfState;
    // Send time of the latest heartbeat of this balancer that the member has acknowledged.
    std::optional<MonotonicTime> ackedSendTime;
    std::map<BalancerId, Report> reports;
};

// Tracks the balancers of the data centre: which are live, which versions each has acknowledged, and whether the
// others can still consider this one live. A balancer is live while its heartbeats reach this one, or reach a peer
// whose heartbeats reach this one.
class Membership {
public:
    explicit Membership(const ControlPlaneOptions&);

    // Returns false if the heartbeat was ignored: another data centre, this balancer itself, or declared dead.
    bool handleHeartbeat(const peer::Heartbeat&, MonotonicTime now);
    // Removes dead members. Returns true if the live members, their states or endpoints changed since the last call.
    bool refresh(MonotonicTime now);

    const std::map<BalancerId, Member>& members() const { return m_members; }
    const Member* find(const BalancerId&) const;
    bool isLive(const BalancerId& id) const { return m_members.contains(id); }
    // Lowest table version acknowledged by the other live balancers; nullopt if there are none.
    std::optional<TableVersion> lowestAckedTable() const;
    // Every other live balancer has acknowledged the digest.
    bool allAckedDoubts(std::uint64_t digest) const;
    // Every other live balancer knows the current incarnation of this one.
    bool knownToAll(MonotonicTime now) const;
    // At least one settled balancer knows the current incarnation of this one. A settled balancer knows all others.
    bool knownToSettled() const;
    // Every other live balancer knows that this one is leaving.
    bool leavingKnownToAll() const;
    // Live peers with a higher version than the given ones.
    std::vector<const Member*> newerPeers(TableVersion, ConfigVersion) const;

    // Latest time at which this balancer is certain to have been heard by a live peer that has no newer version than
    // the given ones. Never later than now.
    MonotonicTime contact(TableVersion, ConfigVersion, MonotonicTime now);
    // Peers have been live and have not all left gracefully.
    bool knewPeers() const { return m_knewPeers; }
    // A peer has declared the current incarnation of this balancer dead.
    bool declaredDead() const { return m_declaredDead; }
    // Starts a new incarnation, which peers treat as a joining balancer.
    void startIncarnation(MonotonicTime now);
    Incarnation incarnation() const { return m_incarnation; }

    void setState(peer::MemberState state) { m_state = state; }
    peer::MemberState state() const { return m_state; }

    // Fills sender, state, addresses and the observations of peers, and counts the heartbeat as sent.
    void fillHeartbeat(peer::Heartbeat&, TableVersion acked, ConfigVersion, MonotonicTime now);
    // Endpoints to send heartbeats to: members, recently failed members, seeds and balancers in the VM list.
    std::vector<Ipv4Endpoint> heartbeatEndpoints() const;
    void setListedEndpoints(std::vector<Ipv4Endpoint> endpoints)
    {
        m_listedEndpoints = std::move(endpoints);
        m_listKnown = true;
    }
    // Other balancers may exist that have not been heard yet. Always true while the VM list is unknown.
    bool expectsPeers() const;

private:
    Member* admit(const peer::Heartbeat&, MonotonicTime now);
    void readObservation(Member& reporter, const peer::Heartbeat&, const peer::PeerObservation&, MonotonicTime now);
    void readSelfObservation(Member& reporter, const peer::PeerObservation&);
    Member* findObserved(const peer::PeerObservation&, MonotonicTime now);
    bool heardByAny(const Member&, MonotonicTime now) const;
    void remove(const BalancerId&, MonotonicTime now);
    void addObservation(peer::Heartbeat&, const Member&, bool details, MonotonicTime now) const;
    static std::uint32_t identityOf(const BalancerId&, Incarnation);

    ControlPlaneOptions m_options;
    Incarnation m_incarnation;
    peer::MemberState m_state = peer::MEMBER_STATE_UNSETTLED;
    std::map<BalancerId, Member> m_members;
    // Highest incarnation declared dead.
    std::map<BalancerId, Incarnation> m_dead;
    // Dead incarnations that still send heartbeats, with the time of the latest one.
    std::map<BalancerId, std::pair<Incarnation, MonotonicTime>> m_deadSenders;
    std::vector<Ipv4Endpoint> m_listedEndpoints;
    bool m_listKnown = false;
    // Members that failed and may return after a network partition, with the time of removal.
    std::map<BalancerId, std::pair<Ipv4Endpoint, MonotonicTime>> m_formerEndpoints;
    std::deque<std::pair<std::uint64_t, MonotonicTime>> m_sent;
    std::uint64_t m_sequence = 0;
    MonotonicTime m_contact = MonotonicTime(std::chrono::hours(-1));
    MonotonicTime m_detailsUntil {};
    MonotonicTime m_lastRefresh {};
    // No member is declared dead before this time. Set after a pause of this balancer.
    MonotonicTime m_graceUntil {};
    bool m_changed = false;
    bool m_knewPeers = false;
    bool m_declaredDead = false;
};

} // namespace anvilwalk
