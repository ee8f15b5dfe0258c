#include <anvilwalk/load/LoadCollector.h>

#include <algorithm>
#include <utility>

namespace anvilwalk {

namespace {

    // Adds figures that are within the bounds of the format; the sum stays within them.
    std::uint32_t addCounts(std::uint32_t a, std::uint32_t b) { return std::min(a + b, maxLoadCount); }

} // namespace

LoadCollector::LoadCollector(const LoadCollectorOptions& options, TargetCatalogue& targets)
    : m_options(options)
    , m_targets(targets)
{
}

void LoadCollector::handle(const LoadReport& report, MonotonicTime now)
{
    if (m_reporters.size() >= m_options.maxReporters && !m_reporters.contains(report.header.sender))
        return;
    const auto [found, isNew] = m_reporters.try_emplace(report.header.sender);
    Reporter& reporter = found->second;
    // A balancer that has started again begins with a lower number; its last report has expired then.
    const bool expired = isNew || now - reporter.receivedAt >= m_options.maxReportAge;
    if (!expired && report.header.sequence < reporter.sequence)
        return;
    if (expired || report.header.sequence != reporter.sequence) {
        reporter = {};
        reporter.sequence = report.header.sequence;
    }
    if (!reporter.parts.insert(report.header.part).second)
        return;
    reporter.receivedAt = now;
    for (const TargetLoadReport& target : report.targets) {
        if (m_targets.find(target.token) == nullptr || !reporter.targets.emplace(target.token, target).second)
            continue;
        if (target.responses == 0)
            continue;
        ResponseTimes& times = m_newResponseTimes[target.token];
        times.responses += target.responses;
        times.sum += target.responseTimeSum;
    }
}

LoadSummary LoadCollector::summarize(MonotonicTime now)
{
    absl::erase_if(
        m_reporters, [&](const auto& entry) { return now - entry.second.receivedAt >= m_options.maxReportAge; });
    updateResponseTimes();
    absl::flat_hash_map<FlowToken, TargetLoadSum> sums;
    Duration ages { 0 };
    for (const auto& [id, reporter] : m_reporters) {
        addReport(reporter, sums);
        ages += now - reporter.receivedAt;
    }
    const auto balancers = static_cast<std::uint32_t>(m_reporters.size());
    LoadSummary summary {
        .header = {}, .age = balancers == 0 ? Duration::zero() : ages / balancers, .balancers = balancers, .targets = {}
    };
    for (const Target* target : m_targets.present()) {
        if (target->tokenCollides)
            continue;
        const auto found = sums.find(target->token);
        TargetLoadSum sum = found == sums.end() ? TargetLoadSum { .token = target->token } : found->second;
        sum.responseTime = responseTimeOf(target->token);
        // Without traffic, the response time alone is passed on, for balancers that have just started.
        if (found != sums.end() || sum.responseTime > Duration::zero())
            summary.targets.push_back(sum);
    }
    return summary;
}

void LoadCollector::addReport(const Reporter& reporter, absl::flat_hash_map<FlowToken, TargetLoadSum>& sums) const
{
    const bool ignoresSilence = isOwnFault(reporter);
    for (const auto& [token, target] : reporter.targets) {
        TargetLoadSum& sum = sums[token];
        sum.token = token;
        sum.openFlows = addCounts(sum.openFlows, target.openFlows);
        sum.requestsInProgress = addCounts(sum.requestsInProgress, target.requestsInProgress);
        sum.unansweredBalancers += target.unanswered && !ignoresSilence ? 1 : 0;
        sum.answeredBalancers += target.responses > 0 ? 1 : 0;
    }
}

bool LoadCollector::isOwnFault(const Reporter& reporter) const
{
    if (reporter.targets.size() < m_options.minTargetsForFault)
        return false;
    std::size_t silent = 0;
    for (const auto& [token, target] : reporter.targets)
        silent += target.unanswered ? 1 : 0;
    return static_cast<double>(silent) > m_options.maxSilentShare * static_cast<double>(reporter.targets.size());
}

void LoadCollector::updateResponseTimes()
{
    // Targets that have terminated are forgotten; a target that starts again under its name may have another speed, but
    // the average follows it soon.
    absl::erase_if(m_responseTimes, [&](const auto& entry) { return m_targets.find(entry.first) == nullptr; });
    for (const auto& [token, times] : std::exchange(m_newResponseTimes, {})) {
        const auto responses = static_cast<double>(times.responses);
        const Duration mean = times.sum / times.responses;
        const Duration known = responseTimeOf(token);
        const double weight = known == Duration::zero() ? 1 : responses / (responses + m_options.responseTimeMemory);
        m_responseTimes[token] = known + std::chrono::duration_cast<Duration>((mean - known) * weight);
    }
}

Duration LoadCollector::responseTimeOf(FlowToken token) const
{
    const auto found = m_responseTimes.find(token);
    if (found != m_responseTimes.end())
        return found->second;
    const Target* target = m_targets.find(token);
    return target == nullptr ? Duration::zero() : target->shared.responseTime;
}

} // namespace anvilwalk
