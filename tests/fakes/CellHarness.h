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

// The object API at the level of the controller's actions.
struct FakeCellStore {
    struct Behaviour {
        bool down = false;
        // The next writes take effect, but their answers are lost.
        int lostAnswers = 0;
        // The next table writes find that another writer was faster.
        int conflicts = 0;
        std::chrono::milliseconds least { 2 };
        std::chrono::milliseconds most { 8 };
    };
    Behaviour behaviour;
    std::optional<table::TableSet> table;
    StoreVersion tableVersion;
    std::optional<WriterLease> lease;
    std::uint64_t lastVersion = 0;
    // Table versions in the order in which they were written.
    std::vector<table::TableSet> written;
};

// One balancer of the harness: its controller, flow table and what the test has done to it.
struct FakeBalancer {
    CellControllerOptions options;
    std::shared_ptr<FlowTable> flows;
    std::unique_ptr<CellController> controller;
    bool alive = true;
    bool paused = false;
    bool watching = false;
    bool cutFromStore = false;
    // Whether the last attempt to watch the object API reached it.
    bool reachedStore = true;
    // Time that fetching the state of a peer takes in addition.
    std::chrono::milliseconds fetchDelay {};
    // Events that arrived during a pause.
    std::vector<std::function<void()>> delayed;
    // Highest table version that it routed by.
    TableVersion highestTable;
    // A lower table version came into force after a higher one.
    bool wentBack = false;
    std::uint64_t heartbeatBytes = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t largestHeartbeat = 0;
};

// Several CellControllers joined by a queue of messages with a controlled clock. Latencies and the order of
// messages come from the seed.
class CellHarness {
public:
    explicit CellHarness(std::uint64_t seed);
    ~CellHarness();

    // Set before balancers start.
    CellControllerOptions defaults;
    FakeCellStore store;

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

    // Runs until the time has passed, or until the condition holds. Returns whether it held.
    void run(std::chrono::milliseconds time);
    bool runUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);
    MonotonicTime now() const { return m_now; }
    // Called after each step of the clock.
    std::function<void()> afterStep;

    void publish(std::vector<ServiceConfig> services);
    void setVmList(std::vector<VmEntry> entries);
    // Reports the same for a target at every balancer.
    void setReport(const TargetReport&);
    void observe(const std::string& name, const TargetObservation&);

    // Conditions.
    bool allSettled() const;
    bool allShow(TableVersion) const;
    // Balancers that are alive, not paused and route packets now.
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
    // Delivers to a balancer, later if it is paused, never if it died meanwhile.
    void deliver(FakeBalancer&, Duration delay, std::function<void(CellController&)>);
    Duration latency();
    Duration storeLatency();
    bool connected(const std::string& a, const std::string& b) const;
    FakeBalancer* find(const BalancerId&);
    FakeBalancer* find(const Ipv4Endpoint& controlEndpoint);
    void step();
    void tick(FakeBalancer&);
    void perform(FakeBalancer&, const CellAction&);
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
    // Watches break when the object API goes down and start again when it is back.
    void retryWatches();
    bool storeReachable(const FakeBalancer&) const;

    pcg32 m_random;
    MonotonicTime m_now { std::chrono::seconds(1000) };
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_nextIncarnation = 1'700'000'000'000;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::map<std::string, std::unique_ptr<FakeBalancer>> m_balancers;
    // Balancers that were replaced under the same name; pending events may still refer to them.
    std::vector<std::unique_ptr<FakeBalancer>> m_former;
    std::set<std::pair<std::string, std::string>> m_cuts;
    ConfigSnapshotPointer m_config;
    std::vector<VmEntry> m_vmList;
    std::map<TargetId, TargetReport> m_reports;
    MonotonicTime m_nextReports {};
    MonotonicTime m_nextWatchCheck {};
};

} // namespace anvilwalk::fakes
