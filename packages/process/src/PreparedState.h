#pragma once

#include <anvilwalk/connection.h>
#include <anvilwalk/process/RouterCounters.h>
#include <anvilwalk/process/RoutingState.h>

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>
#include <vector>

namespace anvilwalk {

struct PreparedState;

// A slot that is not stable, or whose target is in doubt, with everything that can be derived from the routing state.
struct PreparedSlot {
    // Target of flows without a record that were opened before the change.
    TargetId oldest;
    // Target of opening packets.
    TargetId opening;
    // Local time at which the change was first seen.
    std::optional<MonotonicTime> announcedAt;
    // Live members by rank; the first owns the slot.
    std::vector<const RoutingMember*> order;
    bool selfOwns = false;
    // Balancer that confirms the owner's records; null if the owner decides alone.
    const RoutingMember* confirmer = nullptr;

    // Returns the slot as it is after its owner has left.
    PreparedSlot withoutOwner(const PreparedState&, bool consultSettled) const;
};

struct PreparedService {
    const ServiceConfig* config = nullptr;
    const ServiceSlots* slots = nullptr;
    // Target of each slot; null for a slot that is in unstable.
    std::vector<const TableTarget*> stable;
    absl::flat_hash_map<SlotIndex, PreparedSlot> unstable;
    std::shared_ptr<ServiceCounters> counters;
    AdmissionLimits limits;
    std::shared_ptr<AdmissionLimiter> limiter;
};

struct PreparedOptions {
    bool honourAnnouncedPhase = true;
    bool consultSettled = true;
};

// A routing state with precomputed per-packet lookups. Immutable except for counters and limiters.
struct PreparedState {
    RoutingStatePointer source;
    TableVersion tableVersion;
    // True also for a leaving balancer, which holds all its records until it exits.
    bool selfSettled = false;
    absl::flat_hash_map<ServiceAddress, std::size_t> byAddress;
    std::vector<PreparedService> services;

    const PreparedService* findService(const ServiceAddress&) const;
    const RoutingMember* findMember(const BalancerId&) const;

    // Limiters with unchanged limits are reused from the previous state.
    static std::shared_ptr<const PreparedState> make(
        RoutingStatePointer, const PreparedState* previous, RouterCounters&, const PreparedOptions&);
};

} // namespace anvilwalk
