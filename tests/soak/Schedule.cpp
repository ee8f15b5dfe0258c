#include "Schedule.h"

#include <array>
#include <pcg_random.hpp>
#include <random>

namespace anvilwalk::soak {

namespace {

    constexpr std::array<std::string_view, faultKindCount> kindNames { "terminate", "kill", "pause", "reload",
        "kill_most", "lose_packets", "delay_packets", "cut_in", "cut_out", "delay_store", "reset_store",
        "silence_store", "cut_to_store", "cut_from_store", "store_silent", "store_busy", "store_throttles",
        "store_closes", "store_slow", "store_stale", "drop_history", "lapse_entries", "foreign_entry", "crash_host",
        "restart_host", "reuse_address", "drain_host", "dark_host" };

    // Quiet time before the first fault, in which balancers start.
    constexpr std::chrono::milliseconds firstFault { 2500 };
    constexpr int shortestMs = 200;
    constexpr int longestMs = 4000;

} // namespace

std::string_view toString(FaultKind kind) { return kindNames[static_cast<std::size_t>(kind)]; }

std::vector<Fault> makeSchedule(const ScheduleOptions& options)
{
    pcg32 random(options.seed);
    std::exponential_distribution<double> pauses(1.0 / static_cast<double>(options.pause.count()));
    std::uniform_int_distribution<int> kinds(0, static_cast<int>(faultKindCount) - 1);
    std::uniform_int_distribution<int> durations(shortestMs, longestMs);
    std::vector<Fault> faults;
    std::chrono::milliseconds at = firstFault;
    while (at < firstFault + options.length) {
        faults.push_back({ .at = at,
            .kind = static_cast<FaultKind>(kinds(random)),
            .duration = std::chrono::milliseconds(durations(random)),
            .target = random() });
        at += std::chrono::milliseconds(static_cast<std::int64_t>(pauses(random)) + 1);
    }
    return faults;
}

} // namespace anvilwalk::soak
