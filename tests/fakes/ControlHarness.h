#pragma once

#include <anvilwalk/process.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace anvilwalk::fakes {

// In-memory object API that executes the store actions of control planes.
struct FakeControlStore {
    struct Behaviour {
        bool down = false;
        // Number of table writes that take effect but whose results are lost.
        int lostAnswers = 0;
        // Number of table writes that fail with a conflict.
        int conflicts = 0;
        std::chrono::milliseconds minLatency { 2 };
        std::chrono::milliseconds maxLatency { 8 };
    };
    Behaviour behaviour;
    std::optional<table::TableSet> table;
    StoreVersion tableVersion;
    std::optional<WriterLease> lease;
    std::uint64_t lastVersion = 0;
    // All written tables, in order.
    std::vector<table::TableSet> written;
};

// One simulated balancer: its control plane, flow table and injected faults.
struct FakeBalancer {
    ControlPlaneOptions options;
    std::shared_ptr<FlowTable> flows;
    std::unique_ptr<ControlPlane> controlPlane;
    bool alive = true;
    bool paused = false;
    bool watching = false;
    bool cutFromStore = false;
    // Whether the last attempt to watch the object API reached it.
    bool reachedStore = true;
    // Additional delay of fetching a peer's state.
    std::chrono::milliseconds fetchDelay {};
    // Events received during a pause.
    std::vector<std::function<void()>> delayed;
    // Highest table version in its routing state so far.
    TableVersion highestTable;
    // A lower table version was applied after a higher one.
    bool tableRegressed = false;
    std::uint64_t heartbeatBytes = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t largestHeartbeat = 0;
};

// Discrete-event simulation of several ControlPlanes connected by a message queue. The seed determines latencies and
// the order of messages.
class ControlHarness {
public:
    explicit ControlHarness(std::uint64_t seed);
    ~ControlHarness();

    // Options of balancers that are started later.
    ControlPlaneOptions defaults;
    FakeControlStore store;

    FakeBalancer& start(const std::string& name);
    void kill(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    void cut(const std::string& a, const std::string& b) { m_cuts.insert(std::minmax(a, b)); }
    void heal(const std::string& a, const std::string& b) { m_cuts.erase(std::minmax(a, b)); }
    void cutOff(const std::string& name);
    void healAll();

    FakeBalancer& balancer(const std::string& name) { return *m_balancers.at(name); }
    const std::map<std::string, std::unique_ptr<FakeBalancer>>& balancers() const { return m_balancers; }

    // Runs for the given time, or until the condition holds. runUntil returns whether the condition holds.
    void run(std::chrono::milliseconds time);
    bool runUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);
    MonotonicTime now() const { return m_now; }
    // Called after each step of the clock.
    std::function<void()> afterStep;

    void publish(std::vector<ServiceConfig> services);
    void setVmList(std::vector<VmEntry> entries);
    // Delivers the same report about a target to every balancer.
    void setReport(const TargetReport&);
    void observe(const std::string& name, const TargetObservation&);

    // Conditions.
    bool allSettled() const;
    bool allApplied(TableVersion) const;
    // Balancers that are alive, not paused and currently route packets.
    std::vector<FakeBalancer*> routing();
    const FakeBalancer* writer() const;
    TableSnapshotPointer newestTable() const;
    std::uint64_t random(std::uint64_t limit) { return m_random(static_cast<std::uint32_t>(limit)); }

private:
    struct Event {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> run;
    };
    struct Later {
        bool operator()(const Event& a, const Event& b) const
        {
            return std::tie(a.at, a.order) > std::tie(b.at, b.order);
        }
    };

    void schedule(Duration delay, std::function<void()>);
    // Delivers an event after a delay: at resume if the balancer is paused, never if it has been killed.
    void deliver(FakeBalancer&, Duration delay, std::function<void(ControlPlane&)>);
    Duration latency();
    Duration storeLatency();
    bool connected(const std::string& a, const std::string& b) const;
    FakeBalancer* find(const BalancerId&);
    FakeBalancer* find(const Ipv4Endpoint& controlEndpoint);
    void step();
    void tick(FakeBalancer&);
    void perform(FakeBalancer&, const ControlAction&);
    void performHeartbeat(FakeBalancer&, const SendHeartbeat&);
    void performFetchState(FakeBalancer&, const FetchStateFrom&);
    void performFetchRecords(FakeBalancer&, const FetchRecordsFrom&);
    void performPush(FakeBalancer&, const PushRecordsTo&);
    void performWriteTable(FakeBalancer&, const WriteTable&);
    void performWriteLease(FakeBalancer&, const WriteLease&);
    Result<StoreVersion> storeTable(const WriteTable&);
    Result<StoreVersion> storeLease(const WriteLease&);
    void readStore(FakeBalancer&);
    void notifyWatchers();
    // Breaks watches when the object API becomes unreachable and restarts them when it is reachable again.
    void retryWatches();
    bool storeReachable(const FakeBalancer&) const;

    pcg32 m_random;
    MonotonicTime m_now { std::chrono::seconds(1000) };
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_nextIncarnation = 1'700'000'000'000;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::map<std::string, std::unique_ptr<FakeBalancer>> m_balancers;
    // Balancers replaced by one with the same name. Pending events may still refer to them.
    std::vector<std::unique_ptr<FakeBalancer>> m_replaced;
    std::set<std::pair<std::string, std::string>> m_cuts;
    ConfigSnapshotPointer m_config;
    std::vector<VmEntry> m_vmList;
    std::map<TargetId, TargetReport> m_reports;
    MonotonicTime m_nextReports {};
    MonotonicTime m_nextWatchCheck {};
};

} // namespace anvilwalk::fakes
