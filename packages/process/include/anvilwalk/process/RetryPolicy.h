#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <pcg_random.hpp>

namespace anvilwalk {

// Token bucket that limits the retry rate of all callers that share it. The backoff alone does not bound the
// rate, because each success resets it and failures may alternate with successes. Thread-safe.
class RetryBudget {
public:
    RetryBudget(std::uint32_t capacity, std::chrono::milliseconds refillInterval);

    // Reserves a token and returns the time until it is available; zero if it is available now.
    Duration takeToken(MonotonicTime now);

private:
    Duration m_capacity;
    Duration m_refillInterval;
    std::mutex m_mutex;
    // Time at which the bucket is full again if no more tokens are taken.
    MonotonicTime m_fullAt;
};

struct RetryPolicyOptions {
    std::chrono::milliseconds firstDelay { 200 };
    std::chrono::milliseconds maxDelay { 5000 };
};

// Computes the delays between the attempts of one caller: exponential backoff with full jitter, and never less
// than the shared budget requires. Not thread-safe.
class RetryPolicy {
public:
    RetryPolicy(const RetryPolicyOptions&, std::shared_ptr<RetryBudget>, std::uint64_t seed);

    // Counts a failure and returns the time to wait before the next attempt.
    Duration delayAfterFailure(MonotonicTime now);
    // Resets the backoff.
    void recordSuccess();

private:
    RetryPolicyOptions m_options;
    // May be null: no limit beyond the backoff.
    std::shared_ptr<RetryBudget> m_budget;
    pcg32 m_random;
    std::uint32_t m_failures = 0;
};

} // namespace anvilwalk
