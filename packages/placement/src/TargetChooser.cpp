#include <anvilwalk/placement/TargetChooser.h>

#include <algorithm>
#include <limits>

namespace anvilwalk {

namespace {

    // Loads that differ by less count as equal; ties are broken at random.
    constexpr double loadTolerance = 1e-6;

    // Prevents overflow of the backoff time.
    constexpr std::uint32_t maxBackoffDoublings = 16;

    bool hasRecentResponseTime(const TargetActivity& activity, std::chrono::milliseconds maxAge, MonotonicTime now)
    {
        return activity.responseTime > Duration::zero() && now - activity.lastResponse < maxAge;
    }

} // namespace

TargetChooser::TargetChooser(const TargetChooserOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
}

Target* TargetChooser::choose(const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now)
{
    const Duration fastest = fastestOf(targets, now);
    Target* best = nullptr;
    TargetRank bestRank = TargetRank::Unusable;
    double bestLoad = std::numeric_limits<double>::max();
    std::uint32_t tieCount = 0;
    for (Target* target : targets) {
        const TargetRank rank = rankOf(*target, tried, now);
        if (rank == TargetRank::Unusable || rank > bestRank)
            continue;
        const double load = loadOf(*target, fastest, now);
        const bool better = rank < bestRank || load < bestLoad - loadTolerance;
        if (!better && load > bestLoad + loadTolerance)
            continue;
        tieCount = better ? 1 : tieCount + 1;
        // Reservoir sampling: each of several equal targets is chosen with the same probability.
        if (better || m_random(tieCount) == 0) {
            best = target;
            bestRank = rank;
            bestLoad = load;
        }
    }
    return best;
}

std::vector<TargetExplanation> TargetChooser::explain(
    const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now) const
{
    std::vector<TargetExplanation> explanations;
    explanations.reserve(targets.size());
    for (const Target* target : targets) {
        const TargetRankReason reason = rankReasonOf(*target, tried, now);
        explanations.push_back({ .target = target,
            .rank = rankFor(reason),
            .reason = reason,
            .remote = target->record.dataCentre != m_options.dataCentre });
    }
    explainLoads(targets, now, explanations);
    return explanations;
}

void TargetChooser::explainLoads(
    const std::vector<Target*>& targets, MonotonicTime now, std::vector<TargetExplanation>& explanations) const
{
    const Duration fastest = fastestOf(targets, now);
    TargetRank bestRank = TargetRank::Unusable;
    for (TargetExplanation& explanation : explanations) {
        explanation.slowdown = slowdownOf(*explanation.target, fastest, now);
        explanation.ownLoad = loadOf(*explanation.target, fastest, now);
        bestRank = std::min(bestRank, explanation.rank);
    }
    if (bestRank == TargetRank::Unusable)
        return;
    double leastLoad = std::numeric_limits<double>::max();
    for (const TargetExplanation& explanation : explanations) {
        if (explanation.rank == bestRank)
            leastLoad = std::min(leastLoad, explanation.ownLoad);
    }
    const auto isChosen = [=](const TargetExplanation& explanation) {
        return explanation.rank == bestRank && explanation.ownLoad <= leastLoad + loadTolerance;
    };
    const auto chosen = std::count_if(explanations.begin(), explanations.end(), isChosen);
    for (TargetExplanation& explanation : explanations)
        explanation.share = isChosen(explanation) ? 1.0 / static_cast<double>(chosen) : 0;
}

TargetRank TargetChooser::rankOf(const Target& target, const TriedTargets& tried, MonotonicTime now) const
{
    return rankFor(rankReasonOf(target, tried, now));
}

TargetRankReason TargetChooser::rankReasonOf(const Target& target, const TriedTargets& tried, MonotonicTime now) const
{
    if (target.tokenCollides)
        return TargetRankReason::TokenCollision;
    if (target.evacuated)
        return TargetRankReason::Evacuated;
    if (target.record.state == TargetState::Draining)
        return TargetRankReason::Draining;
    if (target.presence == TargetPresence::Gone)
        return TargetRankReason::Gone;
    if (m_warmUp != nullptr && !m_warmUp->mayOpen(target, now))
        return TargetRankReason::WarmUpLimit;
    if (tried.contains(target.token))
        return TargetRankReason::AlreadyTried;
    if (target.presence == TargetPresence::Missing)
        return TargetRankReason::Missing;
    if (isBackedOff(target, now))
        return TargetRankReason::Suspected;
    if (isSilentForOthers(target))
        return TargetRankReason::SilentForOthers;
    return TargetRankReason::None;
}

bool TargetChooser::isSilentForOthers(const Target& target) const
{
    const SharedTargetLoad& shared = target.shared;
    return shared.unansweredBalancers >= m_options.minUnansweredBalancers
        && shared.unansweredBalancers > shared.answeredBalancers;
}

bool TargetChooser::isBackedOff(const Target& target, MonotonicTime now) const
{
    const TargetActivity& activity = target.activity;
    if (activity.suspicionLevel < suspicionThreshold)
        return false;
    const std::uint32_t failures = std::min(activity.suspicionLevel / suspicionThreshold, maxBackoffDoublings);
    const auto backoff = std::min(m_options.initialBackoff * (1U << (failures - 1)), m_options.maxBackoff);
    // After the backoff time, one flow at a time probes the target. Without this limit a failed target would get every
    // new flow, because it has no load.
    return now - activity.lastUnanswered < backoff || activity.pendingOpenings > 0;
}

Duration TargetChooser::fastestOf(const std::vector<Target*>& targets, MonotonicTime now) const
{
    Duration fastest = Duration::max();
    for (const Target* target : targets) {
        if (hasRecentResponseTime(target->activity, m_options.responseTimeMaxAge, now))
            fastest = std::min(fastest, target->activity.responseTime);
    }
    return fastest;
}

double TargetChooser::slowdownOf(const Target& target, Duration fastest, MonotonicTime now) const
{
    const TargetActivity& activity = target.activity;
    if (hasRecentResponseTime(activity, m_options.responseTimeMaxAge, now) && fastest > Duration::zero())
        return std::clamp(static_cast<double>(activity.responseTime.count()) / static_cast<double>(fastest.count()),
            1.0, m_options.maxSlowdown);
    return now < target.coldUntil ? m_options.coldFactor : 1;
}

double TargetChooser::loadOf(const Target& target, Duration fastest, MonotonicTime now) const
{
    const TargetActivity& activity = target.activity;
    const double inProgress = activity.requestsInProgress + activity.pendingOpenings;
    const double idleFlows
        = activity.openFlows > activity.requestsInProgress ? activity.openFlows - activity.requestsInProgress : 0;
    double load
        = (inProgress + 1 + idleFlows * m_options.idleFlowLoad) / std::max<std::uint32_t>(target.record.slots, 1);
    load *= slowdownOf(target, fastest, now);
    if (target.record.dataCentre != m_options.dataCentre)
        load += m_options.remotePenalty;
    return load;
}

} // namespace anvilwalk
