#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    // Time for which both the endpoint and the own observation must be bad before a target is in doubt.
    constexpr auto bothBadDuration = 1000ms;
    // Time for which one of them must be bad, and not contradicted by the other, before a target is in doubt.
    constexpr auto oneBadDuration = 5000ms;
    // Time for which a target in doubt must look good before the doubt ends. Prevents flapping.
    constexpr auto goodDuration = 5000ms;
    // Maximum age of reports and observations that count.
    constexpr auto maxReportAge = 5000ms;
    constexpr auto maxObservationAge = 2000ms;
    // Single retransmitted openings are common on lossy paths.
    constexpr std::uint32_t minRepeatsForBad = 3;
    // Weight of a new load report in the moving average.
    constexpr double loadSmoothing = 0.2;
    constexpr auto loadStepInterval = 10s;
    constexpr std::uint32_t loadStep = 50;
    constexpr std::uint32_t minLoadShare = 500;
    constexpr std::uint32_t fullShare = 1000;
    // Relative excess over the mean load above which the share is reduced.
    constexpr double loadTolerance = 0.1;

    bool within(const std::optional<MonotonicTime>& time, MonotonicTime now, Duration limit)
    {
        return time && now - *time <= limit;
    }

    // Updates the time since which a condition holds.
    void track(std::optional<MonotonicTime>& since, bool holds, MonotonicTime now)
    {
        if (!holds)
            since.reset();
        else if (!since)
            since = now;
    }

    bool heldFor(const std::optional<MonotonicTime>& since, MonotonicTime now, Duration limit)
    {
        return since && now - *since >= limit;
    }

} // namespace

TargetMonitor::TargetMonitor(const ControlTestSwitches& switches)
    : m_switches(switches)
{
}

void TargetMonitor::handleReport(const TargetReport& report, MonotonicTime now)
{
    const auto found = m_targets.find(report.target);
    if (found == m_targets.end())
        return;
    TargetState& state = found->second;
    state.report = report;
    state.reportedAt = now;
    if (!report.reachable)
        return;
    const double load = report.openFlows;
    state.smoothedLoad = state.smoothedLoad ? *state.smoothedLoad + loadSmoothing * (load - *state.smoothedLoad) : load;
}

void TargetMonitor::handleObservation(const TargetObservation& observation, MonotonicTime now)
{
    const auto found = m_targets.find(observation.target);
    if (found == m_targets.end())
        return;
    TargetState& state = found->second;
    if (observation.repeatedOpenings > 0) {
        const bool recent = within(state.lastRepeats, now, maxObservationAge);
        state.repeats = (recent ? state.repeats : 0) + observation.repeatedOpenings;
        state.lastRepeats = now;
    }
    if (observation.progressedFlows > 0) {
        state.lastProgress = now;
        state.repeats = 0;
    }
}

void TargetMonitor::handleTable(const TableSnapshot& table)
{
    absl::flat_hash_map<TargetId, TargetState> targets;
    for (const auto& [service, slots] : table.services()) {
        for (const auto& [id, target] : slots.targets) {
            TargetState& state = targets[id];
            const auto found = m_targets.find(id);
            if (found != m_targets.end())
                state = found->second;
            state.service = service;
        }
    }
    m_targets = std::move(targets);
    std::erase_if(m_doubted, [&](TargetId id) { return !m_targets.contains(id); });
}

TargetMonitor::Verdict TargetMonitor::endpointVerdict(const TargetState& state, MonotonicTime now) const
{
    if (!within(state.reportedAt, now, maxReportAge))
        return Verdict::Unknown;
    return state.report.reachable && state.report.healthy ? Verdict::Good : Verdict::Bad;
}

TargetMonitor::Verdict TargetMonitor::ownVerdict(const TargetState& state, MonotonicTime now)
{
    if (within(state.lastRepeats, now, maxObservationAge) && state.repeats >= minRepeatsForBad)
        return Verdict::Bad;
    return within(state.lastProgress, now, maxObservationAge) ? Verdict::Good : Verdict::Unknown;
}

bool TargetMonitor::judge(TargetState& state, bool doubted, MonotonicTime now) const
{
    const Verdict endpoint = endpointVerdict(state, now);
    const Verdict own = ownVerdict(state, now);
    if (m_switches.trustEndpoint)
        return endpoint == Verdict::Bad;
    const bool anyBad = endpoint == Verdict::Bad || own == Verdict::Bad;
    const bool anyGood = endpoint == Verdict::Good || own == Verdict::Good;
    track(state.bothBadSince, endpoint == Verdict::Bad && own == Verdict::Bad, now);
    const bool contradicted = endpoint == Verdict::Bad ? own == Verdict::Good : endpoint == Verdict::Good;
    track(state.oneBadSince, anyBad && !contradicted, now);
    track(state.goodSince, anyGood && !anyBad, now);
    if (heldFor(state.bothBadSince, now, bothBadDuration) || heldFor(state.oneBadSince, now, oneBadDuration))
        return true;
    return doubted && !heldFor(state.goodSince, now, goodDuration);
}

void TargetMonitor::tick(MonotonicTime now)
{
    for (auto& [id, state] : m_targets) {
        if (judge(state, m_doubted.contains(id), now))
            m_doubted.insert(id);
        else
            m_doubted.erase(id);
    }
    if (now < m_nextLoadStep)
        return;
    m_nextLoadStep = now + loadStepInterval;
    stepLoadShares();
}

// The shares depend on loads reported by the targets. Each step is small and the share stays between half and full, so
// that a target that reports a false load has little influence.
void TargetMonitor::stepLoadShares()
{
    absl::flat_hash_map<ServiceId, std::pair<double, std::size_t>> sums;
    for (const auto& [id, state] : m_targets) {
        if (!state.smoothedLoad)
            continue;
        auto& [sum, count] = sums[state.service];
        sum += *state.smoothedLoad;
        ++count;
    }
    for (auto& [id, state] : m_targets) {
        if (!state.smoothedLoad)
            continue;
        const auto& [sum, count] = sums[state.service];
        const double mean = sum / static_cast<double>(count);
        if (*state.smoothedLoad > mean * (1 + loadTolerance))
            state.loadShare = std::max(minLoadShare, state.loadShare - loadStep);
        else
            state.loadShare = std::min(fullShare, state.loadShare + loadStep);
    }
}

std::set<TargetId> TargetMonitor::suspected() const
{
    std::set<TargetId> ids = m_doubted;
    for (const auto& [id, state] : m_targets) {
        if (state.oneBadSince)
            ids.insert(id);
    }
    return ids;
}

bool TargetMonitor::isDraining(TargetId id) const
{
    const auto found = m_targets.find(id);
    return found != m_targets.end() && found->second.report.reachable && found->second.report.draining;
}

std::uint32_t TargetMonitor::wantedShare(TargetId id) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return fullShare;
    const TargetState& state = found->second;
    return state.report.shedding ? state.loadShare / 2 : state.loadShare;
}

} // namespace anvilwalk
