#pragma once

#include <anvilwalk/process/CellController.h>

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <map>
#include <optional>

namespace anvilwalk {

// What is known of another balancer in its present incarnation.
struct Member {
    // What this member says of another: time since it last heard it, when it said so.
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
    // Highest versions echoed, with recent openings handed in.
    TableVersion echoedTable;
    ConfigVersion config;
    // Highest table version that the member shows, echoed or not.
    TableVersion shownTable;
    std::uint64_t doubtDigest = 0;
    std::vector<TargetId> suspects;
    std::vector<TargetId> appliedDoubts;
    bool storeReachable = false;
    // Unset if the member is known only from what others say.
    std::optional<MonotonicTime> heardAt;
    MonotonicTime firstSeen;
    std::uint64_t heardSequence = 0;
    // This balancer's state as the member knows it; unset until it echoes the present incarnation.
    std::optional<peer::MemberState> echoedSelf;
    // Send time of this balancer's latest heartbeat that the member has heard.
    std::optional<MonotonicTime> echoedSendTime;
    std::map<BalancerId, Report> reports;
};

// The balancers of the data centre: who is live, what each has echoed, and whether this one can be live to the
// others. Liveness is shared: a balancer is live while this one or a peer that this one hears does hear it.
class Membership {
public:
    explicit Membership(const CellControllerOptions&);

    // Returns false if the heartbeat was ignored: another data centre, this balancer itself, or declared dead.
    bool handleHeartbeat(const peer::Heartbeat&, MonotonicTime now);
    // Removes the dead. Returns true if the live members, their states or endpoints changed since the last call.
    bool refresh(MonotonicTime now);

    const std::map<BalancerId, Member>& members() const { return m_members; }
    const Member* find(const BalancerId&) const;
    bool isLive(const BalancerId& id) const { return m_members.contains(id); }
    // Lowest echoed table version of the other live balancers; nothing if there are none.
    std::optional<TableVersion> lowestEchoedTable() const;
    // Every other live balancer has echoed the digest.
    bool allEchoedDoubts(std::uint64_t digest) const;
    // Every other live balancer knows the present incarnation of this one.
    bool knownToAll(MonotonicTime now) const;
    // A settled balancer, which knows all others, knows the present incarnation of this one.
    bool knownToSettled() const;
    // Every other live balancer knows that this one is leaving.
    bool leavingKnownToAll() const;
    // Live peers that show a higher version than the given ones.
    std::vector<const Member*> newerPeers(TableVersion, ConfigVersion) const;

    // Latest time at which some live peer, that shows no newer version than the given ones, has certainly heard
    // this balancer. Never later than now.
    MonotonicTime contact(TableVersion, ConfigVersion, MonotonicTime now);
    // Peers were live and did not all leave gracefully.
    bool knewPeers() const { return m_knewPeers; }
    // A peer has declared the present incarnation of this balancer dead.
    bool declaredDead() const { return m_declaredDead; }
    // Starts a new incarnation, which the peers take for a joining balancer.
    void startIncarnation(MonotonicTime now);
    Incarnation incarnation() const { return m_incarnation; }

    void setState(peer::MemberState state) { m_state = state; }
    peer::MemberState state() const { return m_state; }

    // Fills sender, state, addresses and the observations of peers, and counts the heartbeat as sent.
    void fillHeartbeat(peer::Heartbeat&, TableVersion echoed, ConfigVersion, MonotonicTime now);
    // Endpoints to send heartbeats to: members, and balancers that the seeds or the VM list name.
    std::vector<Ipv4Endpoint> heartbeatEndpoints() const;
    void setListedEndpoints(std::vector<Ipv4Endpoint> endpoints) { m_listedEndpoints = std::move(endpoints); }
    // Other balancers may exist that have not been heard yet.
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

    CellControllerOptions m_options;
    Incarnation m_incarnation;
    peer::MemberState m_state = peer::MEMBER_STATE_UNSETTLED;
    std::map<BalancerId, Member> m_members;
    // Highest incarnation that was declared dead.
    std::map<BalancerId, Incarnation> m_dead;
    // Dead incarnations that still send, with the time of their last heartbeat.
    std::map<BalancerId, std::pair<Incarnation, MonotonicTime>> m_deadSenders;
    std::vector<Ipv4Endpoint> m_listedEndpoints;
    // Members that died, which may come back after a cut.
    std::map<BalancerId, std::pair<Ipv4Endpoint, MonotonicTime>> m_formerEndpoints;
    std::deque<std::pair<std::uint64_t, MonotonicTime>> m_sent;
    std::uint64_t m_sequence = 0;
    MonotonicTime m_contact = MonotonicTime(std::chrono::hours(-1));
    MonotonicTime m_detailsUntil {};
    MonotonicTime m_lastRefresh {};
    // Nobody is declared dead before this time, because this balancer was paused.
    MonotonicTime m_graceUntil {};
    bool m_changed = false;
    bool m_knewPeers = false;
    bool m_declaredDead = false;
};

} // namespace anvilwalk
