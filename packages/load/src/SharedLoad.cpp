#include <anvilwalk/load/SharedLoad.h>

namespace anvilwalk {

namespace {

    std::uint32_t subtract(std::uint32_t sum, std::uint32_t part) { return sum > part ? sum - part : 0; }

} // namespace

SharedLoad::SharedLoad(const SharedLoadOptions& options, TargetCatalogue& targets)
    : m_options(options)
    , m_targets(targets)
{
}

void SharedLoad::recordOwnReport(const std::vector<TargetLoadReport>& report)
{
    m_ownReport.clear();
    for (const TargetLoadReport& target : report)
        m_ownReport.emplace(target.token, target);
}

void SharedLoad::handle(const LoadSummary& summary, MonotonicTime now)
{
    if (!isAcceptable(summary, now))
        return;
    if (m_current.collector != summary.header.sender || m_current.sequence != summary.header.sequence)
        m_current = {
            .collector = summary.header.sender, .sequence = summary.header.sequence, .arrivedAt = now, .parts = {}
        };
    if (!m_current.parts.insert(summary.header.part).second)
        return;
    for (const TargetLoadSum& sum : summary.targets) {
        Target* target = m_targets.find(sum.token);
        if (target == nullptr)
            continue;
        const Duration known = target->shared.responseTime;
        target->shared = withoutOwn(sum);
        if (sum.responseTime == Duration::zero())
            target->shared.responseTime = known;
        m_updatedAt[sum.token] = m_current.arrivedAt;
    }
    if (m_current.parts.size() == summary.header.parts)
        clearBefore(m_current.arrivedAt);
    m_targets.setSharedLoad({ .fresh = true, .balancers = summary.balancers, .takenAt = now - summary.age });
}

bool SharedLoad::isAcceptable(const LoadSummary& summary, MonotonicTime now) const
{
    if (summary.age >= m_options.maxAge || summary.balancers == 0)
        return false;
    if (!status().fresh)
        return true;
    const bool overdue = now - m_current.arrivedAt >= m_options.preferredCollectorTime;
    // A collector that has started again counts from 1.
    if (summary.header.sender == m_current.collector)
        return overdue || summary.header.sequence >= m_current.sequence;
    return summary.balancers > status().balancers
        || (overdue && summary.balancers >= m_options.minCoverage * status().balancers);
}

void SharedLoad::clearBefore(MonotonicTime time)
{
    absl::erase_if(m_updatedAt, [&](const auto& entry) { return entry.second < time; });
    for (Target* target : m_targets.present()) {
        if (!m_updatedAt.contains(target->token))
            target->shared = { .responseTime = target->shared.responseTime };
    }
}

SharedTargetLoad SharedLoad::withoutOwn(const TargetLoadSum& sum) const
{
    const auto found = m_ownReport.find(sum.token);
    const TargetLoadReport own = found == m_ownReport.end() ? TargetLoadReport {} : found->second;
    return { .openFlows = subtract(sum.openFlows, own.openFlows),
        .requestsInProgress = subtract(sum.requestsInProgress, own.requestsInProgress),
        .unansweredBalancers = subtract(sum.unansweredBalancers, own.unanswered ? 1 : 0),
        .answeredBalancers = subtract(sum.answeredBalancers, own.responses > 0 ? 1 : 0),
        .responseTime = sum.responseTime };
}

void SharedLoad::expire(MonotonicTime now)
{
    if (!status().fresh)
        return;
    const bool outdated = now - status().takenAt >= m_options.maxAge;
    clearBefore(outdated ? MonotonicTime::max() : now - m_options.maxAge);
    if (!outdated)
        return;
    m_targets.setSharedLoad({});
    // A collector that has started again may use the same sequence number.
    m_current = {};
}

} // namespace anvilwalk
