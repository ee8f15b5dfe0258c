#include <anvilwalk/process/PauseDetector.h>

namespace anvilwalk {

PauseDetector::PauseDetector(std::chrono::milliseconds threshold)
    : m_threshold(threshold)
{
}

std::uint64_t PauseDetector::noteRunning(MonotonicTime now) { return advance(now, true); }

std::uint64_t PauseDetector::epoch(MonotonicTime now) { return advance(now, false); }

std::uint64_t PauseDetector::advance(MonotonicTime now, bool running)
{
    const std::int64_t nowNs = now.time_since_epoch().count();
    std::int64_t last = m_lastRunningNs.load();
    const bool paused = last != 0 && nowNs - last > m_threshold.count();
    // Only the thread whose exchange succeeds counts the pause.
    if ((running || paused) && nowNs > last && m_lastRunningNs.compare_exchange_strong(last, nowNs) && paused)
        ++m_epoch;
    return m_epoch;
}

} // namespace anvilwalk
