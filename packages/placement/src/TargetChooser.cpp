#include <anvilwalk/placement/TargetChooser.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

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
    return chooseByRoom(targets, tried, now, sharedLoad);
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

Target* TargetChooser::chooseByRoom(const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now,
    const SharedLoadStatus& sharedLoad)
{
    collectCandidates(targets, tried, now);
    if (m_candidates.empty())
        return nullptr;
    return pickByRoom(narrowCandidates(now, sharedLoad));
}

double TargetChooser::narrowCandidates(MonotonicTime now, const SharedLoadStatus& sharedLoad)
{
    const double openingsPerSecond = recordOpening(m_candidates.front().target->record.service, now);
    const double age = std::chrono::duration<double>(now - sharedLoad.takenAt).count();
    const double othersOpenings = openingsPerSecond * age * (sharedLoad.balancers - 1);
    const double level = fillLevel(othersOpenings + 1);
    double leastOwnLoad = std::numeric_limits<double>::max();
    for (const Candidate& candidate : m_candidates)
        leastOwnLoad = std::min(leastOwnLoad, candidate.ownLoad);
    const double maxOwnLoad = leastOwnLoad * (1 + m_options.ownLoadTolerance);
    std::erase_if(m_candidates, [=](const Candidate& candidate) { return candidate.ownLoad > maxOwnLoad; });
    return level;
}

double TargetChooser::roomOf(const Candidate& candidate, double level)
{
    return std::max(level - candidate.load, 0.0) * candidate.capacity;
}

Target* TargetChooser::pickByRoom(double level)
{
    double room = 0;
    for (const Candidate& candidate : m_candidates)
        room += roomOf(candidate, level);
    double position = std::uniform_real_distribution<double>(0, room)(m_random);
    for (const Candidate& candidate : m_candidates) {
        position -= roomOf(candidate, level);
        if (position < 0)
            return candidate.target;
    }
    // None has room: the least loaded one.
    return m_candidates.front().target;
}

void TargetChooser::collectCandidates(const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now)
{
    m_candidates.clear();
    m_responseTimes.clear();
    TargetRank bestRank = TargetRank::Unusable;
    for (Target* target : targets) {
        if (target->shared.responseTime > Duration::zero())
            m_responseTimes.push_back(target->shared.responseTime);
        const TargetRank rank = rankOf(*target, tried, now);
        if (rank == TargetRank::Unusable || rank > bestRank)
            continue;
        if (rank < bestRank)
            m_candidates.clear();
        bestRank = rank;
        m_candidates.push_back({ .target = target });
    }
    const Duration usual = lowQuantile(m_responseTimes);
    for (Candidate& candidate : m_candidates)
        candidate = candidateFor(*candidate.target, usual, now);
    std::sort(m_candidates.begin(), m_candidates.end(),
        [](const Candidate& a, const Candidate& b) { return a.load < b.load; });
}

TargetChooser::Candidate TargetChooser::candidateFor(Target& target, Duration usual, MonotonicTime now) const
{
    Candidate candidate { .target = &target };
    const double ownBusy = target.activity.requestsInProgress + target.activity.pendingOpenings;
    const double busy = ownBusy + target.shared.requestsInProgress;
    const double ownIdle = std::max(target.activity.openFlows - ownBusy, 0.0);
    const double idle = std::max(target.activity.openFlows + target.shared.openFlows - busy, 0.0);
    candidate.capacity = std::max<std::uint32_t>(target.record.slots, 1) / sharedSlowdownOf(target, usual, now);
    candidate.ownLoad = (ownBusy + 1 + ownIdle * m_options.idleFlowLoad) / candidate.capacity;
    candidate.load = (busy + idle * m_options.idleFlowLoad) / candidate.capacity;
    if (target.record.dataCentre != m_options.dataCentre) {
        candidate.ownLoad += m_options.remotePenalty;
        candidate.load += m_options.remotePenalty;
    }
    return candidate;
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
        explainByRoom(targets, tried, now, sharedLoad, explanations);
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

void TargetChooser::explainByRoom(const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now,
    const SharedLoadStatus& sharedLoad, std::vector<TargetExplanation>& explanations) const
{
    // The choice collects its candidates and counts an opened flow; both happen in a copy.
    TargetChooser copy(*this);
    copy.collectCandidates(targets, tried, now);
    const Duration usual = lowQuantile(copy.m_responseTimes);
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const Candidate candidate = candidateFor(*targets[index], usual, now);
        explanations[index].slowdown = sharedSlowdownOf(*targets[index], usual, now);
        explanations[index].ownLoad = candidate.ownLoad;
        explanations[index].load = candidate.load;
    }
    if (copy.m_candidates.empty())
        return;
    const double level = copy.narrowCandidates(now, sharedLoad);
    double room = 0;
    for (const Candidate& candidate : copy.m_candidates)
        room += roomOf(candidate, level);
    for (const Candidate& candidate : copy.m_candidates) {
        const auto found = std::find(targets.begin(), targets.end(), candidate.target);
        // Without room, the least loaded candidate is chosen.
        const bool isLeastLoaded = candidate.target == copy.m_candidates.front().target;
        explanations[static_cast<std::size_t>(found - targets.begin())].share
            = room > 0 ? roomOf(candidate, level) / room : (isLeastLoaded ? 1 : 0);
    }
}

double TargetChooser::fillLevel(double requests) const
{
    double level = m_candidates.front().load;
    double capacity = 0;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        capacity += m_candidates[index].capacity;
        const bool last = index + 1 == m_candidates.size();
        const double next = last ? std::numeric_limits<double>::max() : m_candidates[index + 1].load;
        // The candidates so far fill up to the load of the next one, unless there are too few requests.
        const double needed = last ? requests : (next - level) * capacity;
        if (needed >= requests)
            return level + requests / capacity;
        requests -= needed;
        level = next;
    }
    return level;
}

double TargetChooser::sharedSlowdownOf(const Target& target, Duration usual, MonotonicTime now) const
{
    const Duration time = target.shared.responseTime;
    if (time > Duration::zero() && usual > Duration::zero())
        return std::clamp(
            static_cast<double>(time.count()) / static_cast<double>(usual.count()), 1.0, m_options.maxSlowdown);
    return now < target.coldUntil ? m_options.coldFactor : 1;
}

double TargetChooser::recordOpening(const ServiceName& service, MonotonicTime now)
{
    OpeningRate& rate = m_openingRates[service];
    const double elapsed = std::chrono::duration<double>(now - rate.updatedAt) / m_options.openingRateTime;
    rate.count = rate.count * std::exp(-elapsed) + 1;
    rate.updatedAt = now;
    return rate.count / std::chrono::duration<double>(m_options.openingRateTime).count();
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
