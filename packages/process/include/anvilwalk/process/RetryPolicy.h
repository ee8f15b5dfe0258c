#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <pcg_random.hpp>

namespace anvilwalk {

// Limits the retries of all callers that share it by a token bucket. Failures that alternate with successes
// reset the backoff, so that the backoff alone would not bound the rate. Safe for use by several threads.
class RetryBudget {
public:
    RetryBudget(std::uint32_t capacity, std::chrono::milliseconds refillInterval);

    // Takes a token and returns the time until it is available.
    Duration take(MonotonicTime now);

private:
    Duration m_capacity;
    Duration m_refillInterval;
    std::mutex m_mutex;
    // Time at which the bucket is full again.
    MonotonicTime m_fullAt;
};

struct RetryPolicyOptions {
    std::chrono::milliseconds firstDelay { 200 };
    std::chrono::milliseconds maxDelay { 5000 };
};

// Delays between the attempts of one caller: exponential backoff with full jitter, and never sooner than the
// shared budget allows. Not thread-safe.
class RetryPolicy {
public:
    RetryPolicy(const RetryPolicyOptions&, std::shared_ptr<RetryBudget>, std::uint64_t seed);

    // Time to wait before the next attempt.
    Duration delayAfterFailure(MonotonicTime now);
    void noteSuccess();

private:
    RetryPolicyOptions m_options;
    std::shared_ptr<RetryBudget> m_budget;
    pcg32 m_random;
    std::uint32_t m_failures = 0;
};

} // namespace anvilwalk
