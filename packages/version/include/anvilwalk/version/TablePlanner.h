#pragma once

#include <anvilwalk/version/ConfigSnapshot.h>
#include <anvilwalk/version/TableSnapshot.h>

#include <absl/container/flat_hash_set.h>
#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace anvilwalk {

// A target that the VM list or the service file names for this data centre.
struct KnownTarget {
    ServiceId service;
    std::string host;
    Ipv4Endpoint tunnel;
    std::string healthUrl;
    bool leaving = false;
    // Health and own observation speak against the target.
    bool doubted = false;
    // The target looks bad, but not for long enough for a doubt. Counts where more than half of a service's targets
    // look bad, because a failing measurement does not reach all targets at the same time.
    bool suspected = false;
    // Wanted share in thousandths of a full target.
    std::uint32_t weight = 1000;
};

struct TablePlannerOptions {
    // Least time between an announced version and its moving version: the initial TCP retransmission timeout of
    // 1 s and a margin.
    std::chrono::milliseconds announceHold { 1200 };
    // Largest change of a weight in one step; a new target reaches the full weight in four.
    std::uint32_t maxWeightStep = 250;
    // Smaller differences between wanted and current weight move no slot.
    std::uint32_t weightTolerance = 50;
    // Only for tests: makes announced slots move without the echo of every balancer.
    bool applyWithoutEcho = false;
    // Only for tests: makes moving slots stable while records of older candidates exist.
    bool settleWithRecords = false;
    // Only for tests: removes doubted targets even if they are more than half of a service's targets.
    bool removeAnyNumber = false;
};

// What the next table is computed from, besides the current table.
struct PlannerInput {
    DataCentreId dataCentre;
    BalancerId writer;
    ConfigSnapshotPointer config;
    std::vector<KnownTarget> targets;
    // Highest version that every live balancer has echoed.
    TableVersion echoedByAll;
    // Time since this balancer first saw the announcement of a slot's newest candidate.
    std::function<Duration(ServiceId, SlotIndex)> sinceAnnounced;
    // Time since this balancer first saw the slot moving with its newest candidate.
    std::function<Duration(ServiceId, SlotIndex)> sinceMoving;
    // Neither owner nor backup of the slot holds a record of an older candidate.
    std::function<bool(ServiceId, SlotIndex)> clearOfOlderRecords;
    // Targets whose doubt every live balancer has echoed while no table could be written. Their slots have been
    // announced in this way already.
    absl::flat_hash_set<TargetId> agreedDoubts;
    // Weights may change by one step.
    bool mayStepWeights = true;
};

// Computes the tables of a data centre. Pure: equal input gives equal output.
class TablePlanner {
public:
    explicit TablePlanner(const TablePlannerOptions&);

    // The next table set, or nothing if the current one is to stay. A null current table means none exists.
    std::optional<table::TableSet> plan(const TableSnapshotPointer& current, const PlannerInput&) const;

private:
    TablePlannerOptions m_options;
};

} // namespace anvilwalk
