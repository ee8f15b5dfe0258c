#pragma once

#include <chrono>

namespace anvilwalk {

using Duration = std::chrono::nanoseconds;

// Clock tag for monotonic time. The epoch is arbitrary.
struct MonotonicClockTag {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClockTag>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using MonotonicTime = std::chrono::time_point<MonotonicClockTag, Duration>;

// Source of the current time. Routing code takes the time as a parameter; only its callers read a clock.
class Clock {
public:
    virtual ~Clock() = default;
    virtual MonotonicTime now() const = 0;
};

// The operating system's monotonic clock.
class SystemClock final : public Clock {
public:
    MonotonicTime now() const override;
};

} // namespace anvilwalk
