#pragma once

#include <anvilwalk/units.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace anvilwalk {

// Histogram of response times with fixed buckets.
class ResponseHistogram {
public:
    // Upper bounds of the buckets in seconds; an additional last bucket counts longer times.
    static constexpr std::array<double, 11> bounds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8 };

    void add(Duration time)
    {
        const double seconds = std::chrono::duration<double>(time).count();
        std::size_t bucket = 0;
        while (bucket < bounds.size() && seconds > bounds[bucket])
            ++bucket;
        ++m_counts[bucket];
        m_sum += seconds;
    }

    const std::array<std::uint64_t, bounds.size() + 1>& counts() const { return m_counts; }
    double sumSeconds() const { return m_sum; }

private:
    std::array<std::uint64_t, bounds.size() + 1> m_counts {};
    double m_sum = 0;
};

} // namespace anvilwalk
