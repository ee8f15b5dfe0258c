#pragma once

#include <anvilwalk/units.h>

namespace anvilwalk::fakes {

// A clock that a test sets.
class FakeClock final : public Clock {
public:
    MonotonicTime now() const override { return m_now; }
    void advance(Duration step) { m_now += step; }

private:
    MonotonicTime m_now { std::chrono::seconds(1000) };
};

} // namespace anvilwalk::fakes
