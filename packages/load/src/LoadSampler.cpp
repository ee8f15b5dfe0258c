#include <anvilwalk/load/LoadSampler.h>

#include <chrono>
#include <utility>

namespace anvilwalk {

namespace {

    // How long unanswered packets are reported. A suspicion lasts until the target answers, but while several balancers
    // report it, none sends a flow that the target could answer. Equal to the longest time for which a balancer avoids
    // a target by its own evidence (TargetChooserOptions::maxBackoff).
    constexpr std::chrono::seconds unansweredReportTime { 8 };

    bool hasLeftUnanswered(const TargetActivity& activity, MonotonicTime now)
    {
        return activity.suspicionLevel >= suspicionThreshold && now - activity.lastUnanswered < unansweredReportTime;
    }

} // namespace

std::vector<TargetLoadReport> LoadSampler::sample(MonotonicTime now)
{
    std::vector<TargetLoadReport> reports;
    absl::flat_hash_map<FlowToken, Counts> counts;
    for (const Target* target : m_targets.present()) {
        // Packets for the token belong to another target.
        if (target->tokenCollides)
            continue;
        const TargetActivity& activity = target->activity;
        const Counts current { .startedMs = target->record.startedMs,
            .responses = activity.responses,
            .responseTimeSum = activity.responseTimeSum };
        const auto found = m_counts.find(target->token);
        // The counts of a target that has started again begin at 0.
        const bool continues = found != m_counts.end() && found->second.startedMs == current.startedMs;
        const Counts before = continues ? found->second : Counts {};
        counts.emplace(target->token, current);
        TargetLoadReport report { .token = target->token,
            .openFlows = activity.openFlows,
            .requestsInProgress = activity.requestsInProgress + activity.pendingOpenings,
            .responses = static_cast<std::uint32_t>(current.responses - before.responses),
            .responseTimeSum = current.responseTimeSum - before.responseTimeSum,
            .unanswered = hasLeftUnanswered(activity, now) };
        if (report.openFlows + report.requestsInProgress + report.responses > 0 || report.unanswered)
            reports.push_back(report);
    }
    m_counts = std::move(counts);
    return reports;
}

} // namespace anvilwalk
