#include <anvilwalk/units.h>

namespace anvilwalk {

MonotonicTime SystemClock::now() const
{
    return MonotonicTime(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace anvilwalk
