#pragma once

#include <anvilwalk/process.h>

namespace anvilwalk {

// Passes events to the parts of the control decisions and connects their results.
class CellController::Implementation {
public:
    Implementation(const CellControllerOptions&, const std::shared_ptr<FlowTable>&);

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
    std::vector<CellAction> takeActions() { return std::exchange(m_actions, {}); }
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
    void followVersions(MonotonicTime now);
    void planTable(MonotonicTime now);
    PlannerInput plannerInput(MonotonicTime now);
    void rebuildState(MonotonicTime now);
    std::shared_ptr<RoutingState> buildState() const;
    void sendHeartbeats(MonotonicTime now);
    peer::Heartbeat buildHeartbeat(MonotonicTime now);
    // What the peers are to hear of at once.
    std::string heartbeatSummary();
    bool storeDown(MonotonicTime now);
    // Members that watch the object API, first the one that is to write.
    std::vector<BalancerId> watcherOrder() const;
    std::vector<BalancerId> orderIds() const;
    ConfigVersion configVersion() const { return m_config ? m_config->version() : ConfigVersion(); }

    CellControllerOptions m_options;
    Membership m_membership;
    TableHistory m_history;
    TargetDirectory m_directory;
    TargetMonitor m_monitor;
    DoubtAgreement m_doubts;
    RecordExchange m_records;
    SlotClearance m_clearance;
    EchoGate m_echoes;
    JoinProgress m_join;
    TableWriter m_writer;
    TablePlanner m_planner;
    ConfigSnapshotPointer m_config;

    std::vector<CellAction> m_actions;
    // The full state, and what the packet path gets of it.
    std::shared_ptr<const RoutingState> m_state;
    RoutingStatePointer m_published;
    bool m_stateChanged = true;
    MonotonicTime m_now {};
    MonotonicTime m_contact = MonotonicTime(std::chrono::hours(-1));
    std::optional<MonotonicTime> m_stopRequestedAt;
    std::optional<bool> m_storeReachable;
    std::optional<MonotonicTime> m_storeSeenAt;
    std::optional<bool> m_watching;
    MonotonicTime m_watchingSince {};
    std::optional<std::pair<std::uint64_t, std::uint64_t>> m_doubtHandIn;
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
