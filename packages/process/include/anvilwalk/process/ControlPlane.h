#pragma once

#include <anvilwalk/connection.h>
#include <anvilwalk/process/ControlTestSwitches.h>
#include <anvilwalk/process/RoutingState.h>

#include <chrono>
#include <memory>
#include <peer.pb.h>
#include <string>
#include <variant>
#include <vector>

namespace anvilwalk {

// One VM of the data centre as listed by the platform. The list may be out of date.
struct VmEntry {
    enum class Role {
        Entry,
        Target,
    };
    std::string name;
    Role role = Role::Target;
    bool leaving = false;
    // For entry VMs.
    BalancerId balancer;
    Ipv4Endpoint controlEndpoint;
    // For targets.
    ServiceName service;
    Ipv4Endpoint tunnel;
    std::string healthUrl;
};

// One response of a target's health and load endpoint. It may be stale or wrong.
struct TargetReport {
    TargetId target;
    bool reachable = false;
    bool healthy = false;
    bool draining = false;
    bool shedding = false;
    // Open connections as the target reports them.
    std::uint32_t openFlows = 0;
    std::uint32_t busySlots = 0;
};

// Events seen by this balancer on a target's flows since the last observation.
struct TargetObservation {
    TargetId target;
    // Opening packets that were retransmitted before any later packet of the flow.
    std::uint32_t repeatedOpenings = 0;
    // Flows that sent a later packet after their opening.
    std::uint32_t progressedFlows = 0;
};

// Lease object that names the table writer of a data centre. It only avoids duplicate work; table writes stay correct
// without it because they are conditional on the object version.
struct WriterLease {
    BalancerId holder;
    // Incremented by each renewal.
    std::uint64_t renewals = 0;
    StoreVersion version;
};

struct ControlPlaneOptions {
    BalancerId self;
    Incarnation incarnation;
    DataCentreId dataCentre;
    Ipv4Endpoint packetEndpoint;
    Ipv4Endpoint relayEndpoint;
    Ipv4Endpoint controlEndpoint;
    // Control endpoints to contact before the VM list is known.
    std::vector<Ipv4Endpoint> seeds;
    std::chrono::milliseconds heartbeatInterval { 600 };
    std::chrono::milliseconds deadAfter { 1800 };
    std::chrono::milliseconds fenceAfter { 1200 };
    std::chrono::milliseconds serveAloneAfter { 5000 };
    std::chrono::milliseconds announceHold { 1200 };
    std::chrono::milliseconds openingRetryWindow { 7000 };
    std::chrono::milliseconds leaseDuration { 3000 };
    std::chrono::milliseconds stopDeadline { 30'000 };
    // Balancers of a data centre that watch the object API.
    std::size_t watchers = 2;
    // Minimum time between two steps of a target's weight.
    std::chrono::milliseconds weightStepInterval { 5000 };
    ControlTestSwitches testSwitches {};
};

// Actions that the process carries out for the control plane. Results come back as events. Each FetchRecordsFrom,
// PushRecordsTo, WriteTable and WriteLease gets exactly one result, which may be an error.
struct SendHeartbeat {
    std::vector<Ipv4Endpoint> controlEndpoints;
    peer::Heartbeat heartbeat;
};
struct FetchStateFrom {
    BalancerId peer;
    Ipv4Endpoint controlEndpoint;
    peer::FetchStateRequest request;
};
struct FetchRecordsFrom {
    BalancerId peer;
    Ipv4Endpoint controlEndpoint;
    peer::FetchRecordsRequest request;
};
struct PushRecordsTo {
    BalancerId peer;
    Ipv4Endpoint controlEndpoint;
    // Passed back to handleRecordsPushed.
    std::uint64_t ticket = 0;
    peer::PushRecordsRequest request;
};
// Creates the table object if expected is 0, otherwise updates it if it still has the expected version.
struct WriteTable {
    table::TableSet table;
    StoreVersion expected;
};
struct WriteLease {
    WriterLease lease;
    StoreVersion expected;
};
// Starts or stops watching the object API. A balancer that does not watch gets new versions from its peers.
struct SetWatching {
    bool watch = false;
};
// Reads the table and lease objects again; the results come back through handleTable and handleLease. Needed when the
// outcome of a write is unknown, because a watch reports nothing if the write had no effect.
struct ReadTable { };
using ControlAction = std::variant<SendHeartbeat, FetchStateFrom, FetchRecordsFrom, PushRecordsTo, WriteTable,
    WriteLease, SetWatching, ReadTable>;

// Makes all control decisions of a balancer: membership, tables, doubts, joining and stopping. It takes events and
// returns actions, and has no sockets, threads or clock. Not thread-safe: the caller serialises the calls.
class ControlPlane {
public:
    ControlPlane(const ControlPlaneOptions&, std::shared_ptr<FlowTable>);
    ~ControlPlane();
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    // Events.
    void handleHeartbeat(const peer::Heartbeat&, MonotonicTime now);
    // A table from the object API (with its object version) or from a peer (version 0).
    void handleTable(const table::TableSet&, StoreVersion, MonotonicTime now);
    void handleConfig(ConfigSnapshotPointer, MonotonicTime now);
    void handleVmList(const std::vector<VmEntry>&, MonotonicTime now);
    void handleTargetReport(const TargetReport&, MonotonicTime now);
    void handleTargetObservation(const TargetObservation&, MonotonicTime now);
    void handleStoreReachable(bool reachable, MonotonicTime now);
    void handleLease(const WriterLease&, MonotonicTime now);
    void handleTableWritten(const Result<StoreVersion>&, MonotonicTime now);
    void handleLeaseWritten(const Result<StoreVersion>&, MonotonicTime now);
    void handleRecordsFetched(const BalancerId& peer, const Result<peer::FetchRecordsResponse>&, MonotonicTime now);
    void handleRecordsPushed(std::uint64_t ticket, const Result<peer::PushRecordsResponse>&, MonotonicTime now);
    void requestStop(MonotonicTime now);
    // Must be called at least every 50 ms.
    void tick(MonotonicTime now);

    // Responses to peers.
    peer::FetchStateResponse answerFetchState(const peer::FetchStateRequest&) const;
    peer::FetchRecordsResponse answerFetchRecords(const peer::FetchRecordsRequest&, MonotonicTime now) const;
    peer::PushRecordsResponse answerPushRecords(const peer::PushRecordsRequest&, MonotonicTime now);

    // Results.
    std::vector<ControlAction> takeActions();
    // Returns a new pointer after each change.
    RoutingStatePointer routingState() const;
    // Latest contact with a live peer that has no newer version than this balancer; used by the packet router. Derived
    // from the send time of the own heartbeat that the peer acknowledges, so that heartbeats read late after a pause
    // do not count.
    MonotonicTime lastPeerContact() const;
    // Whether the fabric may send packets to this balancer.
    bool ready(MonotonicTime now) const;
    // Whether a requested stop is complete: peers hold all records of this balancer, or the stop deadline has passed.
    bool stopComplete(MonotonicTime now) const;
    bool isTableWriter() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk
