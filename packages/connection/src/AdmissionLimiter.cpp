#include <anvilwalk/connection.h>

#include <algorithm>

namespace anvilwalk {

namespace {
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
}

AdmissionLimiter::AdmissionLimiter(const AdmissionLimits& limits)
    : m_limits(limits)
{
    if (m_limits.newFlowsPerSecond > 0)
        m_limits.burst = std::max<std::uint32_t>(m_limits.burst, 1);
}

std::optional<DropReason> AdmissionLimiter::admit(MonotonicTime now, std::uint64_t openFlows)
{
    if (m_limits.openFlows > 0 && openFlows >= m_limits.openFlows)
        return DropReason::OpenFlowLimit;
    if (m_limits.newFlowsPerSecond == 0)
        return std::nullopt;
    const std::int64_t interval = nanosecondsPerSecond / m_limits.newFlowsPerSecond;
    const std::int64_t tolerance = interval * m_limits.burst;
    const std::int64_t nowNs = now.time_since_epoch().count();
    std::int64_t arrival = m_theoreticalArrivalNs.load(std::memory_order_relaxed);
    for (;;) {
        const std::int64_t next = std::max(arrival, nowNs) + interval;
        if (next - nowNs > tolerance)
            return DropReason::NewFlowLimit;
        if (m_theoreticalArrivalNs.compare_exchange_weak(arrival, next, std::memory_order_relaxed))
            return std::nullopt;
    }
}

} // namespace anvilwalk
