#include <anvilwalk/placement/TargetChooser.h>

#include <algorithm>
#include <cmath>
#include <limits>

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

    double busyOf(const TargetActivity& activity) { return activity.requestsInProgress + activity.pendingOpenings; }

    // Response time of the fastest tenth, which is not that of a single lucky measurement; 0 if there is none.
    Duration lowQuantile(std::vector<Duration>& times)
    {
        constexpr std::size_t fraction = 10;
        if (times.empty())
            return Duration::zero();
        const auto at = times.begin() + static_cast<std::ptrdiff_t>(times.size() / fraction);
        std::nth_element(times.begin(), at, times.end());
        return *at;
    }

} // namespace

TargetChooser::TargetChooser(const TargetChooserOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
}

Target* TargetChooser::choose(const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now,
    const SharedLoadStatus& sharedLoad)
{
    if (!sharedLoad.fresh)
        return chooseLeastLoaded(targets, tried, now);
    return chooseBySharedLoad(targets, tried, now, sharedLoad);
}

Target* TargetChooser::chooseLeastLoaded(
    const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now)
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

Target* TargetChooser::chooseBySharedLoad(const std::vector<Target*>& targets, const TriedTargets& tried,
    MonotonicTime now, const SharedLoadStatus& sharedLoad)
{
    collectCandidates(targets, tried, now, sharedLoad);
    Target* best = nullptr;
    double bestLoad = std::numeric_limits<double>::max();
    std::uint32_t tieCount = 0;
    for (const Candidate& candidate : m_candidates) {
        const double load = estimatedLoadOf(candidate);
        if (load > bestLoad + loadTolerance)
            continue;
        tieCount = load < bestLoad - loadTolerance ? 1 : tieCount + 1;
        if (tieCount == 1 || m_random(tieCount) == 0) {
            best = candidate.target;
            bestLoad = load;
        }
    }
    return best;
}

void TargetChooser::collectCandidates(const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now,
    const SharedLoadStatus& sharedLoad)
{
    m_candidates.clear();
    m_serviceTimes.clear();
    updateServiceTimes(targets, sharedLoad);
    int bestRank = Unusable;
    for (Target* target : targets) {
        if (target->serviceTime > Duration::zero())
            m_serviceTimes.push_back(target->serviceTime);
        const int rank = rankOf(*target, tried, now);
        if (rank == Unusable || rank > bestRank)
            continue;
        if (rank < bestRank)
            m_candidates.clear();
        bestRank = rank;
        m_candidates.push_back({ .target = target });
    }
    if (m_candidates.empty())
        return;
    const Duration usual = lowQuantile(m_serviceTimes);
    for (Candidate& candidate : m_candidates) {
        const Target& target = *candidate.target;
        candidate.local = target.record.dataCentre == m_options.dataCentre;
        candidate.slowdown = slowdownOf(target, usual, now);
        candidate.capacity = std::max<std::uint32_t>(target.record.slots, 1) / candidate.slowdown;
        const double seconds = std::chrono::duration<double>(usual).count() * candidate.slowdown;
        candidate.recentLoad
            = target.activity.openingsPerSecond(now) * std::min(seconds, m_options.maxOpeningTime) / candidate.capacity;
    }
    estimateOthers(true, now, sharedLoad);
    estimateOthers(false, now, sharedLoad);
}

void TargetChooser::estimateOthers(bool local, MonotonicTime now, const SharedLoadStatus& sharedLoad)
{
    const double others = std::max<double>(sharedLoad.balancers, 2) - 1;
    const double age = std::chrono::duration<double>(now - sharedLoad.takenAt).count();
    double ownBusy = 0;
    double sharedBusy = 0;
    double recent = 0;
    double capacity = 0;
    for (const Candidate& candidate : m_candidates) {
        if (candidate.local != local)
            continue;
        ownBusy += busyOf(candidate.target->activity);
        sharedBusy += candidate.target->shared.requestsInProgress / others;
        recent += candidate.recentLoad * candidate.capacity;
        capacity += candidate.capacity;
    }
    for (Candidate& candidate : m_candidates) {
        if (candidate.local != local)
            continue;
        const SharedTargetLoad& shared = candidate.target->shared;
        const double responseSeconds = std::chrono::duration<double>(shared.responseTime).count();
        const double remaining = responseSeconds > 0 ? std::exp(-age / responseSeconds) : 0;
        const double excess = shared.requestsInProgress / others / candidate.capacity - sharedBusy / capacity;
        const double idle = std::max(static_cast<double>(shared.openFlows) - shared.requestsInProgress, 0.0);
        candidate.othersLoad
            = ownBusy / capacity + excess * remaining + idle * m_options.idleFlowLoad / others / candidate.capacity;
        candidate.recentLoad -= recent / capacity;
        if (!local)
            candidate.othersLoad += m_options.remotePenalty / (others + 1);
    }
}

double TargetChooser::estimatedLoadOf(const Candidate& candidate) const
{
    const TargetActivity& activity = candidate.target->activity;
    const double idle
        = activity.openFlows > activity.requestsInProgress ? activity.openFlows - activity.requestsInProgress : 0;
    const double own = busyOf(activity) + idle * m_options.idleFlowLoad;
    return own / candidate.capacity + candidate.recentLoad + candidate.othersLoad;
}

void TargetChooser::updateServiceTimes(const std::vector<Target*>& targets, const SharedLoadStatus& sharedLoad) const
{
    if (targets.empty() || targets.front()->serviceTimeUpdatedAt == sharedLoad.takenAt)
        return;
    const auto busyPerSlot = [](const Target& target) {
        return static_cast<double>(target.shared.requestsInProgress + target.activity.requestsInProgress)
            / std::max<std::uint32_t>(target.record.slots, 1);
    };
    double meanBusy = 0;
    for (const Target* target : targets)
        meanBusy += busyPerSlot(*target) / static_cast<double>(targets.size());
    for (Target* target : targets) {
        target->serviceTimeUpdatedAt = sharedLoad.takenAt;
        const Duration sample = target->shared.responseTime;
        const double busy = busyPerSlot(*target);
        // The speed during the warm-up time is not that of the target.
        if (sample == Duration::zero() || sharedLoad.takenAt < target->coldUntil)
            continue;
        if (target->serviceTime == Duration::zero())
            target->serviceTime = sample;
        else if (busy <= 1 || (busy > meanBusy && sample > target->serviceTime))
            target->serviceTime += (sample - target->serviceTime) / m_options.serviceTimeSmoothing;
    }
}

double TargetChooser::slowdownOf(const Target& target, Duration usual, MonotonicTime now) const
{
    const double coldFactor = now < target.coldUntil ? m_options.coldFactor : 1;
    if (target.serviceTime == Duration::zero() || usual == Duration::zero())
        return coldFactor;
    const double slowdown = static_cast<double>(target.serviceTime.count()) / static_cast<double>(usual.count());
    return std::clamp(slowdown * coldFactor, 1.0, m_options.maxSlowdown);
}

int TargetChooser::rankOf(const Target& target, const TriedTargets& tried, MonotonicTime now) const
{
    if (target.tokenCollides || target.evacuated || target.record.state == TargetState::Draining
        || target.presence == TargetPresence::Gone)
        return Unusable;
    if (tried.contains(target.token))
        return Tried;
    if (target.presence == TargetPresence::Missing || isBackedOff(target, now) || isSilentForOthers(target))
        return Degraded;
    return Responsive;
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
