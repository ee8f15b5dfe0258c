#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace anvilwalk {

enum class TargetState : std::uint8_t {
    Ready,
    // Takes no new flows and terminates after its open flows have finished.
    Draining,
};

// The entry that a target publishes about itself in the platform's store.
struct TargetRecord {
    // Name of the entry. A target that restarts under the same name keeps it.
    std::string name;
    TargetKey key;
    // Start time of this run in milliseconds since the Unix epoch; distinguishes runs under the same name.
    std::uint64_t startedMs = 0;
    ServiceName service;
    Ipv4Endpoint address;
    DataCentreId dataCentre;
    // Maximum number of requests that the target processes concurrently.
    std::uint32_t slots = 1;
    TargetState state = TargetState::Ready;
    // Remaining warm-up time, during which the target responds slowly.
    std::chrono::milliseconds coldRemaining { 0 };
};

// Returns the token of a target: never 0, and equal on all balancers. A restart under the same name does not change it,
// because a flow may open at the new run before a balancer has learned of the restart. The new run itself resets flows
// of the previous one.
FlowToken tokenOf(TargetKey key);

} // namespace anvilwalk
