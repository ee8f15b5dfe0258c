#pragma once

#include <chrono>
#include <cstdint>
#include <pcg_random.hpp>

namespace anvilwalk {

// Delays between the retries of a failed call. Each delay is twice the one before, up to a maximum, with jitter, so
// that balancers whose calls failed at the same time do not retry at the same time.
class RetryBackoff {
public:
    explicit RetryBackoff(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Starts with the first delay again, after a call that succeeded.
    void reset() { m_delay = std::chrono::milliseconds::zero(); }
    // Returns the next delay: at least half the initial one, at most the maximum.
    std::chrono::milliseconds next(std::chrono::milliseconds initial, std::chrono::milliseconds maximum);

private:
    pcg32 m_random;
    std::chrono::milliseconds m_delay { 0 };
};

} // namespace anvilwalk
