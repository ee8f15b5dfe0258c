#include <anvilwalk/process.h>

#include <algorithm>
#include <random>

namespace anvilwalk {

RetryBudget::RetryBudget(std::uint32_t capacity, std::chrono::milliseconds refillInterval)
    : m_capacity(refillInterval * std::max<std::uint32_t>(capacity, 1))
    , m_refillInterval(refillInterval)
{
}

Duration RetryBudget::takeToken(MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    m_fullAt = std::max(m_fullAt, now) + m_refillInterval;
    return std::max(Duration::zero(), m_fullAt - now - m_capacity);
}

RetryPolicy::RetryPolicy(const RetryPolicyOptions& options, std::shared_ptr<RetryBudget> budget, std::uint64_t seed)
    : m_options(options)
    , m_budget(std::move(budget))
    , m_random(seed)
{
}

Duration RetryPolicy::delayAfterFailure(MonotonicTime now)
{
    // Bounds the shift. After 20 doublings any practical first delay exceeds the maximum.
    constexpr std::uint32_t maxDoublings = 20;
    const Duration limit = std::min<Duration>(m_options.maxDelay,
        Duration(m_options.firstDelay) * (std::int64_t { 1 } << std::min(m_failures, maxDoublings)));
    ++m_failures;
    std::uniform_int_distribution<std::int64_t> distribution(0, limit.count());
    const Duration jittered(distribution(m_random));
    return m_budget ? std::max(jittered, m_budget->takeToken(now)) : jittered;
}

void RetryPolicy::recordSuccess() { m_failures = 0; }

} // namespace anvilwalk
