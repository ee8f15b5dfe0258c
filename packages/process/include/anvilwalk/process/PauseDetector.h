#pragma once

#include <anvilwalk/units.h>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace anvilwalk {

// Detects that the process was not scheduled for a while. Messages queued in the kernel during a pause look new but
// carry old versions, so each pause starts a new epoch and receivers reject work begun in an earlier one.
// Thread-safe.
class PauseDetector {
public:
    // The control thread reports every 50 ms; a longer gap than the threshold counts as a pause.
    explicit PauseDetector(std::chrono::milliseconds threshold = std::chrono::milliseconds(500));

    // Reports that the process is running. Returns the current epoch.
    std::uint64_t noteRunning(MonotonicTime now);
    // Returns the current epoch. Also detects a pause that has not been reported yet.
    std::uint64_t epoch(MonotonicTime now);

private:
    std::uint64_t advance(MonotonicTime now, bool running);

    Duration m_threshold;
    std::atomic<std::int64_t> m_lastRunningNs { 0 };
    std::atomic<std::uint64_t> m_epoch { 1 };
};

} // namespace anvilwalk
