#pragma once

#include <anvilwalk/load/LoadMessage.h>
#include <anvilwalk/placement.h>

#include <absl/container/flat_hash_map.h>
#include <vector>

namespace anvilwalk {

// Takes the figures of this balancer's own reports from the target catalogue.
class LoadSampler {
public:
    explicit LoadSampler(TargetCatalogue& targets)
        : m_targets(targets)
    {
    }

    // Returns the targets with flows now, responses since the last call or packets that went unanswered recently.
    std::vector<TargetLoadReport> sample(MonotonicTime now);

private:
    // Counts of a run of a target at the last call.
    struct Counts {
        std::uint64_t startedMs = 0;
        std::uint64_t responses = 0;
        Duration responseTimeSum { 0 };
    };

    TargetCatalogue& m_targets;
    absl::flat_hash_map<FlowToken, Counts> m_counts;
};

} // namespace anvilwalk
