#pragma once

#include <anvilwalk/connection.h>
#include <anvilwalk/process/CellTestSwitches.h>
#include <anvilwalk/process/RoutingState.h>

#include <chrono>
#include <memory>
#include <peer.pb.h>
#include <string>
#include <variant>
#include <vector>

namespace anvilwalk {

// What a balancer is told about one VM of its data centre by the platform's list, which lags.
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

// One answer of a target's health and load endpoint, which may lag or mislead.
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

// What this balancer saw of a target's flows since the last observation.
struct TargetObservation {
    TargetId target;
    // Opening packets that were repeated without a later packet of the flow.
    std::uint32_t repeatedOpenings = 0;
    // Flows that sent a later packet after their opening.
    std::uint32_t progressedFlows = 0;
};

// The lease object that names the table writer of a data centre. It saves work and protects nothing.
struct WriterLease {
    BalancerId holder;
    // Rises with each renewal by the same holder.
    std::uint64_t renewals = 0;
    StoreVersion version;
};

struct CellControllerOptions {
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
    // Time between two steps of a target's weight.
    std::chrono::milliseconds weightStepInterval { 5000 };
    CellTestSwitches testSwitches {};
};

// Actions that the process carries out for the controller. Results come back as events. Each FetchRecordsFrom,
// PushRecordsTo, WriteTable and WriteLease is answered exactly once, if need be with an error.
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
    // Echoed in handleRecordsPushed.
    std::uint64_t ticket = 0;
    peer::PushRecordsRequest request;
};
// Creates the table object if expected is 0, else updates it conditionally.
struct WriteTable {
    table::TableSet table;
    StoreVersion expected;
};
struct WriteLease {
    WriterLease lease;
    StoreVersion expected;
};
// Start or stop watching the object API; a balancer that does not watch hears from its peers.
struct SetWatching {
    bool watch = false;
};
// Read the table and lease objects again; the answers come back as handleTable and handleLease. Needed after a
// write without an answer, when a watch reports nothing new.
struct ReadTable { };
using CellAction = std::variant<SendHeartbeat, FetchStateFrom, FetchRecordsFrom, PushRecordsTo, WriteTable, WriteLease,
    SetWatching, ReadTable>;

// All control decisions of a balancer: membership, tables, doubts, joining and stopping. It takes events and
// returns actions, and holds no sockets, threads or clock. Not thread-safe: the caller serialises the calls.
class CellController {
public:
    CellController(const CellControllerOptions&, std::shared_ptr<FlowTable>);
    ~CellController();
    CellController(const CellController&) = delete;
    CellController& operator=(const CellController&) = delete;

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
    // To be called at least every 50 ms.
    void tick(MonotonicTime now);

    // Answers to peers.
    peer::FetchStateResponse answerFetchState(const peer::FetchStateRequest&) const;
    peer::FetchRecordsResponse answerFetchRecords(const peer::FetchRecordsRequest&, MonotonicTime now) const;
    peer::PushRecordsResponse answerPushRecords(const peer::PushRecordsRequest&, MonotonicTime now);

    // Results.
    std::vector<CellAction> takeActions();
    // A new pointer after each change.
    RoutingStatePointer routingState() const;
    // Last time a live peer showed no newer version than this balancer has; for the packet router. Dated by the
    // send time of the own heartbeat that the peer echoes, so that heartbeats read late after a pause do not count.
    MonotonicTime lastPeerContact() const;
    // The fabric may send packets here.
    bool ready(MonotonicTime now) const;
    // A requested stop is complete: nothing is left here that the peers do not hold.
    bool stopComplete(MonotonicTime now) const;
    bool isTableWriter() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk
