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
    // A summary of another collector that does not cover more balancers is adopted only if the last one arrived this
    // long ago. One interval of summaries and a half.
    std::chrono::milliseconds preferredCollectorTime { 1500 };
    // It must also cover at least this share of the balancers that the last one covered, as long as the figures are not
    // unknown: a new collector has the reports of few balancers in its first second.
    double minCoverage = 0.75;
};

// Applies the summaries of the collectors to the target catalogue, without the part that this balancer has reported.
class SharedLoad {
public:
    SharedLoad(const SharedLoadOptions&, TargetCatalogue&);

    // Records what this balancer has just reported.
    void recordOwnReport(const std::vector<TargetLoadReport>&);
    // Applies one part of a summary. Targets that no part holds are cleared once all parts have arrived. If a part is
    // lost, its targets keep their last figures: without any they would look idle and draw the new flows.
    void handle(const LoadSummary&, MonotonicTime now);
    // Clears figures that are too old.
    void expire(MonotonicTime now);

    const SharedLoadStatus& status() const { return m_targets.sharedLoad(); }

private:
    // The summary in force; some of its parts may not have arrived.
    struct Current {
        BalancerId collector;
        std::uint64_t sequence = 0;
        // Arrival of the first part.
        MonotonicTime arrivedAt;
        absl::flat_hash_set<std::uint32_t> parts;
    };

    bool isAcceptable(const LoadSummary&, MonotonicTime now) const;
    // Clears the figures that no summary since this time holds, but for the response times: learnt speeds stay.
    void clearBefore(MonotonicTime);
    SharedTargetLoad withoutOwn(const TargetLoadSum&) const;

    SharedLoadOptions m_options;
    TargetCatalogue& m_targets;
    absl::flat_hash_map<FlowToken, TargetLoadReport> m_ownReport;
    Current m_current;
    // Arrival of the last summary that holds the target.
    absl::flat_hash_map<FlowToken, MonotonicTime> m_updatedAt;
};

} // namespace anvilwalk
