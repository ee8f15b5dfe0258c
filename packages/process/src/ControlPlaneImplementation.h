#pragma once

#include <anvilwalk/process.h>

namespace anvilwalk {

// Dispatches events to the components of the control plane and connects their results.
class ControlPlane::Implementation {
public:
    Implementation(const ControlPlaneOptions&, const std::shared_ptr<FlowTable>&);

    void handleHeartbeat(const peer::Heartbeat&, MonotonicTime now);
    void handleTable(const table::TableSet&, StoreVersion, MonotonicTime now);
    void handleConfig(ConfigSnapshotPointer, MonotonicTime now);
    void handleVmList(const std::vector<VmEntry>&, MonotonicTime now);
    void handleStoreReachable(bool reachable, MonotonicTime now);
    void handleTableWritten(const Result<StoreVersion>&, MonotonicTime now);
    void handleRecordsFetched(const BalancerId&, const Result<peer::FetchRecordsResponse>&, MonotonicTime now);
    void requestStop(MonotonicTime now);
    void tick(MonotonicTime now);

    peer::FetchStateResponse answerFetchState(const peer::FetchStateRequest&) const;
    peer::FetchRecordsResponse answerFetchRecords(const peer::FetchRecordsRequest&, MonotonicTime now) const;
    peer::PushRecordsResponse answerPushRecords(const peer::PushRecordsRequest&, MonotonicTime now);

    TargetMonitor& monitor() { return m_monitor; }
    TableWriter& writer() { return m_writer; }
    RecordExchange& records() { return m_records; }
    std::vector<ControlAction> takeActions() { return std::exchange(m_actions, {}); }
    RoutingStatePointer routingState() const { return m_published; }
    MonotonicTime lastPeerContact() const { return m_contact; }
    bool ready(MonotonicTime now) const;
    bool stopComplete(MonotonicTime now) const;
    bool isTableWriter() const { return m_writer.holdsLease(m_now); }

private:
    void applyTable(const table::TableSet&, MonotonicTime now);
    void tickMembership(MonotonicTime now);
    void tickDoubts(MonotonicTime now);
    void tickRecords(MonotonicTime now);
    void tickWriter(MonotonicTime now);
    void tickHeartbeats(MonotonicTime now);
    void fetchNewerVersions(MonotonicTime now);
    void planTable(MonotonicTime now);
    PlannerInput plannerInput(MonotonicTime now);
    void rebuildState(MonotonicTime now);
    std::shared_ptr<RoutingState> buildState() const;
    void sendHeartbeats(MonotonicTime now);
    peer::Heartbeat buildHeartbeat(MonotonicTime now);
    // State whose changes are sent to peers at once, without waiting for the heartbeat interval.
    std::string heartbeatSummary();
    bool storeDown(MonotonicTime now);
    // Members that watch the object API, starting with the preferred table writer.
    std::vector<BalancerId> watcherOrder() const;
    std::vector<BalancerId> orderIds() const;
    ConfigVersion configVersion() const { return m_config ? m_config->version() : ConfigVersion(); }

    ControlPlaneOptions m_options;
    Membership m_membership;
    TableHistory m_history;
    TargetDirectory m_directory;
    TargetMonitor m_monitor;
    DoubtAgreement m_doubts;
    RecordExchange m_records;
    SlotClearance m_clearance;
    TableAckGate m_tableAcks;
    JoinProgress m_join;
    TableWriter m_writer;
    TablePlanner m_planner;
    ConfigSnapshotPointer m_config;

    std::vector<ControlAction> m_actions;
    // The full state, and the version published to the packet path, which has no table until this balancer may route.
    std::shared_ptr<const RoutingState> m_state;
    RoutingStatePointer m_published;
    bool m_stateChanged = true;
    MonotonicTime m_now {};
    MonotonicTime m_contact = MonotonicTime(std::chrono::hours(-1));
    std::optional<MonotonicTime> m_stopRequestedAt;
    std::optional<bool> m_storeReachable;
    std::optional<MonotonicTime> m_storeReachedAt;
    std::optional<bool> m_watching;
    MonotonicTime m_watchingSince {};
    std::optional<std::pair<std::uint64_t, std::uint64_t>> m_doubtPush;
    MonotonicTime m_nextFetch {};
    std::size_t m_fetches = 0;
    MonotonicTime m_nextPlan {};
    MonotonicTime m_weightsChangedAt = MonotonicTime(std::chrono::hours(-1));
    MonotonicTime m_nextHeartbeat {};
    MonotonicTime m_lastHeartbeat {};
    std::string m_sentSummary;
    MonotonicTime m_membersChangedAt {};
    bool m_foreignDropped = true;
};

} // namespace anvilwalk
