#pragma once

#include "TaskThread.h"

#include <anvilwalk/process.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace anvilwalk {

struct ControlLoopOptions {
    ControlPlaneOptions controller;
    // The controller is called at least this often.
    std::chrono::milliseconds tickInterval { 50 };
};

// A balancer of the data centre that can be asked for its status.
struct KnownBalancer {
    BalancerId id;
    Ipv4Endpoint controlEndpoint;
};

// Owns the controller under one lock: feeds it events, puts its state in force at the router, and carries out its
// actions in order on a thread of its own. Events may come from any thread.
class ControlLoop {
public:
    ControlLoop(const ControlLoopOptions&, std::shared_ptr<FlowTable>, RelayRouter&, PeerTransport&,
        std::shared_ptr<ObjectStore>, const Clock&);
    ~ControlLoop();
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    // Starts the thread. The function starts and stops the watch of the object API.
    void start(std::function<void(bool)> setWatching);
    // Ends the thread. Events after this have no effect outside of the controller.
    void stop();

    // Events; see ControlPlane.
    void handleHeartbeat(const peer::Heartbeat&);
    void handleTable(const table::TableSet&, StoreVersion);
    void handleConfig(ConfigSnapshotPointer);
    void handleVmList(const std::vector<VmEntry>&);
    void handleTargetReport(const TargetReport&);
    void handleTargetObservation(const TargetObservation&);
    void handleStoreReachable(bool);
    void handleLease(const WriterLease&);
    void requestStop();

    // Answers to peers.
    peer::FetchStateResponse answerFetchState(const peer::FetchStateRequest&);
    peer::FetchRecordsResponse answerFetchRecords(const peer::FetchRecordsRequest&);
    peer::PushRecordsResponse answerPushRecords(const peer::PushRecordsRequest&);

    std::uint64_t streamEpoch() { return m_pauses.epoch(m_clock.now()); }
    RoutingStatePointer routingState() const;
    bool ready() const;
    bool stopComplete() const;
    bool isTableWriter() const;
    // The other balancers that heartbeats or the VM list have shown and that are not known to have left.
    std::vector<KnownBalancer> knownBalancers() const;

private:
    struct HeardBalancer {
        Ipv4Endpoint controlEndpoint;
        MonotonicTime heard;
    };

    template <class Event> auto withController(Event event);
    void publishState();
    void noteBalancer(const peer::Heartbeat&, MonotonicTime now);
    void run();

    void carryOut(const SendHeartbeat&);
    void carryOut(const FetchStateFrom&);
    void carryOut(const FetchRecordsFrom&);
    void carryOut(const PushRecordsTo&);
    void carryOut(const WriteTable&);
    void carryOut(const WriteLease&);
    void carryOut(const SetWatching&);
    void carryOut(const ReadTable&);
    void adoptState(const peer::FetchStateResponse&);
    Result<StoreVersion> writeObject(const std::string& kind, const nlohmann::json& spec, StoreVersion expected);

    const ControlLoopOptions m_options;
    RelayRouter& m_router;
    PeerTransport& m_transport;
    std::shared_ptr<ObjectStore> m_store;
    const Clock& m_clock;
    PauseDetector m_pauses;
    std::function<void(bool)> m_setWatching;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    ControlPlane m_controller;
    RoutingStatePointer m_published;
    MonotonicTime m_publishedContact;
    std::deque<ControlAction> m_actions;
    std::map<BalancerId, HeardBalancer> m_heard;
    std::vector<VmEntry> m_entryVms;
    bool m_stopped = false;

    TaskThread m_storeThread;
    std::thread m_thread;
};

} // namespace anvilwalk
