#include <anvilwalk/load/LoadSampler.h>

#include <utility>

namespace anvilwalk {

std::vector<TargetLoadReport> LoadSampler::sample()
{
    std::vector<TargetLoadReport> reports;
    absl::flat_hash_map<FlowToken, Counts> counts;
    for (const Target* target : m_targets.present()) {
        const TargetActivity& activity = target->activity;
        const Counts now { .responses = activity.responses, .responseTimeSum = activity.responseTimeSum };
        const auto found = m_counts.find(target->token);
        // The counts of a target that has started again begin at 0.
        const bool continues = found != m_counts.end() && found->second.responses <= now.responses;
        const Counts before = continues ? found->second : Counts {};
        counts.emplace(target->token, now);
        TargetLoadReport report { .token = target->token,
            .openFlows = activity.openFlows,
            .requestsInProgress = activity.requestsInProgress + activity.pendingOpenings,
            .responses = static_cast<std::uint32_t>(now.responses - before.responses),
            .responseTimeSum = now.responseTimeSum - before.responseTimeSum,
            .unanswered = activity.suspicionLevel >= suspicionThreshold };
        if (report.openFlows + report.requestsInProgress + report.responses > 0 || report.unanswered)
            reports.push_back(report);
    }
    m_counts = std::move(counts);
    return reports;
}

} // namespace anvilwalk
