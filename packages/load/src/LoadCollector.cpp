#include <anvilwalk/load/LoadCollector.h>

namespace anvilwalk {

LoadCollector::LoadCollector(const LoadCollectorOptions& options, TargetCatalogue& targets)
    : m_options(options)
    , m_targets(targets)
{
}

void LoadCollector::handle(const LoadReport& report, MonotonicTime now)
{
    if (m_reporters.size() >= m_options.maxReporters && !m_reporters.contains(report.header.sender))
        return;
    Reporter& reporter = m_reporters[report.header.sender];
    // A balancer that has started again begins with a lower number; its last report has expired then.
    if (report.header.sequence < reporter.sequence && now - reporter.receivedAt < m_options.maxReportAge)
        return;
    if (report.header.sequence != reporter.sequence) {
        reporter = {};
        reporter.sequence = report.header.sequence;
    }
    reporter.receivedAt = now;
    if (!reporter.parts.insert(report.header.part).second)
        return;
    for (const TargetLoadReport& target : report.targets) {
        if (m_targets.find(target.token) != nullptr)
            reporter.targets.push_back(target);
    }
}

LoadSummary LoadCollector::summarize(MonotonicTime now)
{
    absl::erase_if(
        m_reporters, [&](const auto& entry) { return now - entry.second.receivedAt >= m_options.maxReportAge; });
    absl::flat_hash_map<FlowToken, TargetLoadSum> sums;
    absl::flat_hash_map<FlowToken, ResponseTimes> responseTimes;
    Duration ages { 0 };
    for (auto& [id, reporter] : m_reporters) {
        addReport(reporter, sums, responseTimes);
        ages += now - reporter.receivedAt;
    }
    updateResponseTimes(responseTimes);
    const auto balancers = static_cast<std::uint32_t>(m_reporters.size());
    LoadSummary summary {
        .header = {}, .age = balancers == 0 ? Duration::zero() : ages / balancers, .balancers = balancers, .targets = {}
    };
    for (auto& [token, sum] : sums) {
        sum.responseTime = responseTimeOf(token);
        summary.targets.push_back(sum);
    }
    return summary;
}

void LoadCollector::addReport(Reporter& reporter, absl::flat_hash_map<FlowToken, TargetLoadSum>& sums,
    absl::flat_hash_map<FlowToken, ResponseTimes>& responseTimes) const
{
    const bool ignoresSilence = isOwnFault(reporter);
    for (const TargetLoadReport& target : reporter.targets) {
        TargetLoadSum& sum = sums[target.token];
        sum.token = target.token;
        sum.openFlows += target.openFlows;
        sum.requestsInProgress += target.requestsInProgress;
        sum.unansweredBalancers += target.unanswered && !ignoresSilence ? 1 : 0;
        sum.answeredBalancers += target.responses > 0 ? 1 : 0;
        if (reporter.counted || target.responses == 0)
            continue;
        ResponseTimes& times = responseTimes[target.token];
        times.responses += target.responses;
        times.sum += target.responseTimeSum;
    }
    reporter.counted = true;
}

bool LoadCollector::isOwnFault(const Reporter& reporter) const
{
    if (reporter.targets.size() < m_options.minTargetsForFault)
        return false;
    std::size_t silent = 0;
    for (const TargetLoadReport& target : reporter.targets)
        silent += target.unanswered ? 1 : 0;
    return static_cast<double>(silent) > m_options.maxSilentShare * static_cast<double>(reporter.targets.size());
}

void LoadCollector::updateResponseTimes(const absl::flat_hash_map<FlowToken, ResponseTimes>& responseTimes)
{
    // Targets that have terminated are forgotten; a target that starts again under its name may have another speed, but
    // the average follows it soon.
    absl::erase_if(m_responseTimes, [&](const auto& entry) { return m_targets.find(entry.first) == nullptr; });
    for (const auto& [token, times] : responseTimes) {
        const Duration mean = times.sum / times.responses;
        const Duration known = responseTimeOf(token);
        const double weight
            = known == Duration::zero() ? 1 : times.responses / (times.responses + m_options.responseTimeMemory);
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
