#include <anvilwalk/discovery/RetryBackoff.h>

#include <algorithm>
#include <random>

namespace anvilwalk {

std::chrono::milliseconds RetryBackoff::next(std::chrono::milliseconds initial, std::chrono::milliseconds maximum)
{
    const auto delay = std::max(m_delay, initial);
    m_delay = std::min(delay * 2, maximum);
    const auto longest = static_cast<int>(delay.count());
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(longest / 2, longest)(m_random));
}

} // namespace anvilwalk
