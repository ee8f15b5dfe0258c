#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace anvilwalk::soak {

enum class FaultKind : std::uint8_t {
    // Balancers.
    Terminate,
    Kill,
    Pause,
    Reload,
    KillMost,
    // Links of one balancer.
    LosePackets,
    DelayPackets,
    CutIn,
    CutOut,
    // Connections of one balancer to the store.
    DelayStore,
    ResetStore,
    SilenceStore,
    CutToStore,
    CutFromStore,
    // The store, for all.
    StoreSilent,
    StoreBusy,
    StoreThrottles,
    StoreCloses,
    StoreSlow,
    StoreStale,
    DropHistory,
    LapseEntries,
    ForeignEntry,
    // Hosts.
    CrashHost,
    RestartHost,
    ReuseAddress,
    DrainHost,
    DarkHost,
    Count,
};

inline constexpr std::size_t faultKindCount = static_cast<std::size_t>(FaultKind::Count);
std::string_view toString(FaultKind);

struct Fault {
    std::chrono::milliseconds at { 0 };
    FaultKind kind = FaultKind::Kill;
    std::chrono::milliseconds duration { 0 };
    // Picks the balancer or host; taken modulo their number.
    std::uint32_t target = 0;
};

struct ScheduleOptions {
    std::uint64_t seed = 0;
    // Faults begin within this time, and end a few seconds later.
    std::chrono::milliseconds length { 15'000 };
    // Mean pause between the beginnings of two faults.
    std::chrono::milliseconds pause { 500 };
};

// The faults of one run, in the order in which they begin. Equal for equal options.
std::vector<Fault> makeSchedule(const ScheduleOptions&);

} // namespace anvilwalk::soak
