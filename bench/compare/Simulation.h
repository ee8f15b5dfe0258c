#pragma once

#include "baselines/ReplicatedRecordRouter.h"

#include <anvilwalk/process.h>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace anvilwalk::bench {

enum class Design {
    SlotTables,
    ConsistentHash,
    ReplicatedRecords,
};

enum class Scenario {
    NoChange,
    DrainOne,
    DrainTwo,
    ReplaceBalancers,
    ScaleUp,
    WeightChange,
};

struct SimulationOptions {
    Design design = Design::SlotTables;
    Scenario scenario = Scenario::NoChange;
    std::uint64_t seed = 1;
    std::size_t balancers = 9;
    // New flows a second at each balancer, both services together.
    std::uint32_t newFlowsPerBalancer = 3000;
    // Half of them are streams that stay open for the whole run.
    std::uint32_t openFlowsPerHost = 2000;
    std::uint32_t durationMs = 60'000;
    std::uint32_t changeAtMs = 5000;
};

struct SimulationResult {
    std::uint64_t flows = 0;
    std::uint64_t packets = 0;
    // Broken flows by cause.
    std::map<std::string, std::uint64_t> broken;
    // Packets that a balancer dropped, by reason; the client sent them again.
    std::map<std::string, std::uint64_t> droppedPackets;
    std::uint64_t relays = 0;
    std::uint64_t maxRelaysOfPacket = 0;
    // First opening packets at a leaving target later than 3 s after it was marked.
    std::uint64_t lateOpenings = 0;
    // Time from the mark of a leaving target to the last first opening packet that it got.
    std::uint32_t lastOpeningAtLeavingMs = 0;
    // By host count of the service: before the change and at the end.
    std::map<std::size_t, double> imbalanceBefore;
    std::map<std::size_t, double> imbalanceAfter;
    // The same for request flows only, which all opened after the change.
    std::map<std::size_t, double> requestImbalanceAfter;
    // Control bytes of all balancers by kind: records, tables, heartbeats.
    std::map<std::string, std::uint64_t> controlBytes;
    // Bytes a second per balancer over the run.
    double controlRate = 0;
    // The same for records in the worst second.
    double peakRecordRate = 0;
    std::size_t balancers = 0;

    std::uint64_t brokenTotal() const;
};

// Runs packet routers on generated traffic with a fake clock in steps of 1 ms. Relays take 1 ms, table versions
// and membership views reach each balancer up to 1 s after they were written.
class Simulation {
public:
    explicit Simulation(const SimulationOptions&);
    SimulationResult run();

private:
    struct Node {
        BalancerId id;
        std::shared_ptr<FlowTable> flows;
        std::unique_ptr<RelayRouter> router;
        RoutingState state;
        bool inFabric = true;
        bool alive = true;
    };
    struct Flow {
        FlowKey key;
        ServiceId service;
        TargetId target;
        std::uint32_t openedMs = 0;
        std::uint16_t packetsLeft = 0;
        std::uint8_t retries = 0;
        bool stream = false;
        bool live = false;
        bool opened = false;
        bool repeatOpening = false;
    };
    enum class Step : std::uint8_t {
        Open,
        RepeatOpening,
        Data,
        Close,
    };
    struct Event {
        std::uint32_t flow = 0;
        Step step = Step::Open;
    };
    struct Relayed {
        std::size_t receiver = 0;
        RelayHeader header;
        Event event;
    };
    struct Service {
        ServiceId id;
        std::size_t hosts = 0;
        std::uint32_t shortLifeMs = 0;
        double flowsPerMs = 0;
        double due = 0;
        std::map<TargetId, std::int64_t> openFlows;
        std::map<TargetId, std::int64_t> openRequests;
        std::map<TargetId, std::uint32_t> leavingSince;
        std::vector<KnownTarget> targets;
    };
    // Something that happens to the control state at a time.
    struct Deferred {
        std::uint32_t atMs = 0;
        std::function<void()> action;
    };

    std::size_t addNode(bool settled);
    RoutingMember memberOf(std::size_t node, bool settled) const;
    void apply(std::size_t node);
    MonotonicTime now() const;
    std::uint32_t random(std::uint32_t bound);
    void later(std::uint32_t delayMs, std::function<void()>);

    void openFlow(Service&, bool stream);
    void schedule(Event, std::uint32_t delayMs);
    void send(const Event&);
    void handle(const Event&, const Decision&);
    void handleDelivery(const Event&, TargetId);
    void handleDrop(const Event&, const std::string& reason);
    void breakFlow(std::uint32_t flow, const std::string& cause);
    void endFlow(std::uint32_t flow);
    void scheduleNext(const Event&, Flow&);
    std::vector<std::uint8_t> packetFor(const Event&) const;

    void startChange();
    KnownTarget makeTarget(const Service&, std::size_t host) const;
    TargetId idOf(const Service&, const std::string& host) const;
    std::optional<table::TableSet> planTable() const;
    void writeTable(const table::TableSet&);
    Duration sinceAnnounced(ServiceId, SlotIndex) const;
    void adoptTable(std::size_t node, const TableSnapshotPointer&);
    TableVersion echoedByAll() const;
    void advanceTable();
    void replaceNext(std::size_t leaving);
    void join(std::function<void()> done);
    void settle(std::size_t node, std::function<void()> done);
    void viewEverywhere(std::size_t member, int change, std::function<void()> done);
    void pushRecords(std::size_t from, const std::vector<peer::FlowRecordEntry>&);
    void replicateRecords();
    void countHeartbeats();
    void countRecordBytes(std::uint64_t);
    using OpenFlows = std::map<TargetId, std::int64_t> Service::*;
    std::map<std::size_t, double> imbalance(OpenFlows) const;

    SimulationOptions m_options;
    SimulationResult m_result;
    pcg32 m_random;
    std::uint32_t m_nowMs = 0;
    ConfigSnapshotPointer m_config;
    TablePlanner m_planner;
    TableSnapshotPointer m_written;
    // When each table version was written, by version.
    std::map<TableVersion, std::uint32_t> m_writtenAtMs;
    std::uint32_t m_weightsSteppedAtMs = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::array<Service, 2> m_services;
    std::vector<Flow> m_flows;
    std::vector<std::uint32_t> m_freeFlows;
    std::uint32_t m_nextClient = 0;
    std::vector<std::vector<Event>> m_wheel;
    std::vector<Relayed> m_relays;
    std::vector<Deferred> m_deferred;
    std::vector<std::uint64_t> m_recordBytesBySecond;
};

} // namespace anvilwalk::bench
