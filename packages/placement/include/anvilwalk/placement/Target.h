#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace anvilwalk {

enum class TargetState : std::uint8_t {
    Ready,
    // Finishes its flows and ends soon.
    Draining,
};

// What a target says of itself in the platform's store.
struct TargetRecord {
    // Name of the entry; the same for all runs of a target that starts again under its name.
    std::string name;
    TargetKey key;
    // Start of this run, milliseconds since 1970. Two runs under one name differ in it.
    std::uint64_t startedMs = 0;
    ServiceName service;
    Ipv4Endpoint address;
    DataCentreId dataCentre;
    // Requests that the target runs concurrently.
    std::uint32_t slots = 1;
    TargetState state = TargetState::Ready;
    // How much longer the target answers slowly after its start.
    std::chrono::milliseconds coldRemaining { 0 };
};

// Token of a target. Never 0, equal on all balancers. All runs under one name have the same: a flow may open at the
// next run before a balancer hears of it, and that run itself resets flows that it does not hold.
FlowToken tokenOf(TargetKey key);

} // namespace anvilwalk
