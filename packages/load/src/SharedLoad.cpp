#include <anvilwalk/load/SharedLoad.h>

#include <utility>

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
    const bool continues
        = m_arriving.header.sender == summary.header.sender && m_arriving.header.sequence == summary.header.sequence;
    if (!continues) {
        // Parts of the summary before may have been lost; those that arrived count.
        if (!m_arriving.parts.empty())
            applyArrived();
        m_arriving.header = summary.header;
    }
    m_arriving.balancers = summary.balancers;
    m_arriving.takenAt = now - summary.age;
    if (!m_arriving.parts.insert(summary.header.part).second)
        return;
    m_arriving.targets.insert(m_arriving.targets.end(), summary.targets.begin(), summary.targets.end());
    if (m_arriving.parts.size() == summary.header.parts)
        applyArrived();
}

bool SharedLoad::isAcceptable(const LoadSummary& summary, MonotonicTime now) const
{
    if (summary.age >= m_options.maxAge || summary.balancers == 0)
        return false;
    const SharedLoadStatus& current = status();
    if (!current.fresh || now - current.takenAt >= m_options.preferredCollectorTime)
        return true;
    if (summary.header.sender == m_applied.sender)
        return summary.header.sequence > m_applied.sequence;
    return summary.balancers > current.balancers;
}

void SharedLoad::applyArrived()
{
    const Arriving arrived = std::exchange(m_arriving, {});
    m_applied = arrived.header;
    for (Target* target : m_targets.present()) {
        // Learnt response times stay while a target has no flows.
        target->shared = { .responseTime = target->shared.responseTime };
    }
    for (const TargetLoadSum& sum : arrived.targets) {
        Target* target = m_targets.find(sum.token);
        if (target == nullptr)
            continue;
        const Duration known = target->shared.responseTime;
        target->shared = withoutOwn(sum);
        if (sum.responseTime == Duration::zero())
            target->shared.responseTime = known;
    }
    m_targets.setSharedLoad({ .fresh = true, .balancers = arrived.balancers, .takenAt = arrived.takenAt });
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
    if (!status().fresh || now - status().takenAt < m_options.maxAge)
        return;
    for (Target* target : m_targets.present())
        target->shared = { .responseTime = target->shared.responseTime };
    m_targets.setSharedLoad({});
}

} // namespace anvilwalk
