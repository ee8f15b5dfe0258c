#pragma once

#include <anvilwalk/load/LoadMessage.h>
#include <anvilwalk/placement.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <chrono>
#include <cstdint>
#include <vector>

namespace anvilwalk {

struct SharedLoadOptions {
    // Age of its reports at which a summary counts no longer.
    std::chrono::milliseconds maxAge { 4000 };
    // A summary of another collector that covers fewer balancers is adopted only once the last one is this old.
    std::chrono::milliseconds preferredCollectorTime { 1500 };
};

// Applies the summaries of the collectors to the target catalogue, without the part that this balancer has reported.
class SharedLoad {
public:
    SharedLoad(const SharedLoadOptions&, TargetCatalogue&);

    // Records what this balancer has just reported.
    void recordOwnReport(const std::vector<TargetLoadReport>&);
    // Adds one part of a summary. The figures are replaced once all parts have arrived, or those that did when the next
    // summary begins.
    void handle(const LoadSummary&, MonotonicTime now);
    // Forgets the figures of a summary that is too old.
    void expire(MonotonicTime now);

    const SharedLoadStatus& status() const { return m_targets.sharedLoad(); }

private:
    // A summary whose parts are arriving.
    struct Arriving {
        LoadMessageHeader header;
        std::uint32_t balancers = 0;
        MonotonicTime takenAt;
        absl::flat_hash_set<std::uint32_t> parts;
        std::vector<TargetLoadSum> targets;
    };

    bool isAcceptable(const LoadSummary&, MonotonicTime now) const;
    void applyArrived();
    SharedTargetLoad withoutOwn(const TargetLoadSum&) const;

    SharedLoadOptions m_options;
    TargetCatalogue& m_targets;
    absl::flat_hash_map<FlowToken, TargetLoadReport> m_ownReport;
    Arriving m_arriving;
    // Sender and sequence number of the summary in force.
    LoadMessageHeader m_applied;
};

} // namespace anvilwalk
