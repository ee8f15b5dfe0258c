#pragma once

#include <chrono>

namespace anvilwalk {

using Duration = std::chrono::nanoseconds;

// Time of a clock that never goes back. Its start is arbitrary.
struct MonotonicClockTag {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClockTag>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using MonotonicTime = std::chrono::time_point<MonotonicClockTag, Duration>;

// Source of the current time. Decisions get their time as a parameter; only their callers read a clock.
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
