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

Target* TargetChooser::chooseBySharedLoad(const std::vector<Target*>& targets, const TriedTargets& tried,
    MonotonicTime now, const SharedLoadStatus& sharedLoad)
{
    updateServiceTimes(targets, sharedLoad);
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
    TargetRank bestRank = TargetRank::Unusable;
    for (Target* target : targets) {
        if (target->serviceTime > Duration::zero())
            m_serviceTimes.push_back(target->serviceTime);
        const TargetRank rank = rankOf(*target, tried, now);
        if (rank == TargetRank::Unusable || rank > bestRank)
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
    const double penalty = remotePenalty(sharedLoad);
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
            candidate.othersLoad += penalty;
    }
}

double TargetChooser::remotePenalty(const SharedLoadStatus& sharedLoad) const
{
    const double balancers = std::max<double>(sharedLoad.balancers, 1);
    double ownBusy = 0;
    double slots = 0;
    for (const Candidate& candidate : m_candidates) {
        if (!candidate.local)
            continue;
        ownBusy += busyOf(candidate.target->activity);
        slots += std::max<std::uint32_t>(candidate.target->record.slots, 1);
    }
    const bool isLoaded = slots > 0 && ownBusy * balancers >= m_options.crossingLoad * slots;
    return isLoaded ? m_options.remotePenalty / balancers : m_options.remotePenalty;
}

double TargetChooser::ownLoadOf(const Candidate& candidate) const
{
    const TargetActivity& activity = candidate.target->activity;
    const double idle
        = activity.openFlows > activity.requestsInProgress ? activity.openFlows - activity.requestsInProgress : 0;
    return (busyOf(activity) + idle * m_options.idleFlowLoad) / candidate.capacity;
}

double TargetChooser::estimatedLoadOf(const Candidate& candidate) const
{
    return ownLoadOf(candidate) + candidate.recentLoad + candidate.othersLoad;
}

std::vector<TargetExplanation> TargetChooser::explain(const std::vector<Target*>& targets, const TriedTargets& tried,
    MonotonicTime now, const SharedLoadStatus& sharedLoad) const
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
    if (sharedLoad.fresh)
        explainBySharedLoad(targets, tried, now, sharedLoad, explanations);
    else
        explainLeastLoaded(targets, now, explanations);
    return explanations;
}

void TargetChooser::explainLeastLoaded(
    const std::vector<Target*>& targets, MonotonicTime now, std::vector<TargetExplanation>& explanations) const
{
    const Duration fastest = fastestOf(targets, now);
    TargetRank bestRank = TargetRank::Unusable;
    for (TargetExplanation& explanation : explanations) {
        explanation.slowdown = ownSlowdownOf(*explanation.target, fastest, now);
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

void TargetChooser::explainBySharedLoad(const std::vector<Target*>& targets, const TriedTargets& tried,
    MonotonicTime now, const SharedLoadStatus& sharedLoad, std::vector<TargetExplanation>& explanations) const
{
    // The candidates are collected in a copy, because the choice reuses their memory.
    TargetChooser copy(*this);
    copy.collectCandidates(targets, tried, now, sharedLoad);
    const Duration usual = lowQuantile(copy.m_serviceTimes);
    for (TargetExplanation& explanation : explanations) {
        const Target& target = *explanation.target;
        explanation.slowdown = slowdownOf(target, usual, now);
        const double capacity = std::max<std::uint32_t>(target.record.slots, 1) / explanation.slowdown;
        explanation.ownLoad = (busyOf(target.activity) + 1) / capacity;
    }
    double leastLoad = std::numeric_limits<double>::max();
    for (const Candidate& candidate : copy.m_candidates)
        leastLoad = std::min(leastLoad, estimatedLoadOf(candidate));
    const auto isChosen
        = [&](const Candidate& candidate) { return estimatedLoadOf(candidate) <= leastLoad + loadTolerance; };
    const auto chosen = std::count_if(copy.m_candidates.begin(), copy.m_candidates.end(), isChosen);
    for (const Candidate& candidate : copy.m_candidates) {
        const auto found = std::find(targets.begin(), targets.end(), candidate.target);
        TargetExplanation& explanation = explanations[static_cast<std::size_t>(found - targets.begin())];
        explanation.load = estimatedLoadOf(candidate);
        explanation.share = isChosen(candidate) ? 1.0 / static_cast<double>(chosen) : 0;
    }
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

double TargetChooser::ownSlowdownOf(const Target& target, Duration fastest, MonotonicTime now) const
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
    load *= ownSlowdownOf(target, fastest, now);
    if (target.record.dataCentre != m_options.dataCentre)
        load += m_options.remotePenalty;
    return load;
}

} // namespace anvilwalk
