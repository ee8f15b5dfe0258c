#include <anvilwalk/placement/TargetChooser.h>

#include <algorithm>
#include <limits>
#include <random>

namespace anvilwalk {

namespace {

    // Loads that differ by less count as equal; ties are broken at random.
    constexpr double loadTolerance = 1e-6;

    // Prevents overflow of the backoff time.
    constexpr std::uint32_t maxBackoffDoublings = 16;

    // Rank of a target, compared before its load; lower is better.
    enum Rank : int {
        Responsive = 0,
        // Did not respond to recent packets, or its entry is missing.
        Degraded = 1,
        // This opening packet was already sent there.
        Tried = 2,
        Unusable = 3,
    };

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
    Duration fastest = Duration::max();
    for (const Target* target : targets) {
        if (hasRecentResponseTime(target->activity, m_options.responseTimeMaxAge, now))
            fastest = std::min(fastest, target->activity.responseTime);
    }
    Target* best = nullptr;
    int bestRank = Unusable;
    double bestLoad = std::numeric_limits<double>::max();
    std::uint32_t tieCount = 0;
    for (Target* target : targets) {
        const int rank = rankOf(*target, tried, now);
        if (rank == Unusable || rank > bestRank)
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

int TargetChooser::rankOf(const Target& target, const TriedTargets& tried, MonotonicTime now) const
{
    if (target.tokenCollides || target.evacuated || target.record.state == TargetState::Draining
        || target.presence == TargetPresence::Gone)
        return Unusable;
    if (tried.contains(target.token))
        return Tried;
    if (target.presence == TargetPresence::Missing || isBackedOff(target, now))
        return Degraded;
    return Responsive;
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

double TargetChooser::loadOf(const Target& target, Duration fastest, MonotonicTime now) const
{
    const TargetActivity& activity = target.activity;
    const double inProgress = activity.requestsInProgress + activity.pendingOpenings;
    const double idleFlows
        = activity.openFlows > activity.requestsInProgress ? activity.openFlows - activity.requestsInProgress : 0;
    double load
        = (inProgress + 1 + idleFlows * m_options.idleFlowLoad) / std::max<std::uint32_t>(target.record.slots, 1);
    if (hasRecentResponseTime(activity, m_options.responseTimeMaxAge, now) && fastest > Duration::zero()) {
        const double slowdown
            = static_cast<double>(activity.responseTime.count()) / static_cast<double>(fastest.count());
        load *= std::clamp(slowdown, 1.0, m_options.maxSlowdown);
    } else if (now < target.coldUntil) {
        load *= m_options.coldFactor;
    }
    if (target.record.dataCentre != m_options.dataCentre)
        load += m_options.remotePenalty;
    return load;
}

} // namespace anvilwalk
