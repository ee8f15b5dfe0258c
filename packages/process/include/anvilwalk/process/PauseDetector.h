#pragma once

#include <anvilwalk/units.h>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace anvilwalk {

// Notices that the process did not run for a while. Messages that waited in the kernel meanwhile look new but
// show old versions, so each pause starts a new epoch and receivers refuse what was begun in an earlier one.
// Safe for use by several threads.
class PauseDetector {
public:
    // The control thread reports every 50 ms; a longer gap than the threshold counts as a pause.
    explicit PauseDetector(std::chrono::milliseconds threshold = std::chrono::milliseconds(500));

    // Reports that the process runs, and returns the current epoch.
    std::uint64_t noteRunning(MonotonicTime now);
    // The current epoch; detects a pause that no report has shown yet.
    std::uint64_t epoch(MonotonicTime now);

private:
    std::uint64_t advance(MonotonicTime now, bool running);

    Duration m_threshold;
    std::atomic<std::int64_t> m_lastRunningNs { 0 };
    std::atomic<std::uint64_t> m_epoch { 1 };
};

} // namespace anvilwalk
