#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>
#include <anvilwalk/version.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <memory>
#include <vector>

namespace anvilwalk {

// A live balancer of the data centre that may own slots.
struct RoutingMember {
    BalancerId id;
    // hashText(id); ranks the members of a slot.
    std::uint64_t key = 0;
    Ipv4Endpoint relayEndpoint;
    // The member holds every record of the slots that it owns or backs up.
    bool settled = false;
};

// A target that the balancers doubt while no new table can be written.
struct DoubtState {
    TargetId target;
    // Every live balancer has echoed the doubt; opening packets go to a fallback.
    bool agreed = false;
    MonotonicTime since;
};

// Everything a packet decision depends on, apart from flow records and time. Immutable; replaced as a whole.
struct RoutingState {
    BalancerId self;
    // This balancer is stopping; it owns no slot and relays to those that do.
    bool selfLeaving = false;
    ConfigSnapshotPointer config;
    TableSnapshotPointer table;
    // Live members that are not leaving, this balancer included unless it is leaving.
    std::vector<RoutingMember> members;
    absl::flat_hash_map<TargetId, DoubtState> doubts;
    // Local time at which an exception was first seen, by service and slot.
    absl::flat_hash_map<std::pair<ServiceId, SlotIndex>, MonotonicTime> announcedAt;
    // Other live balancers are known, so that a long silence means that this one may be cut off or was paused.
    bool hasLivePeers = false;
    // The balancer has withdrawn from the fabric and still gets packets: it serves by what it knows.
    bool servesAlone = false;
};

using RoutingStatePointer = std::shared_ptr<const RoutingState>;

// Live members ordered by rendezvous hash for a slot: the owner first, then the backup.
std::vector<const RoutingMember*> rankMembers(const RoutingState&, ServiceId, SlotIndex);

} // namespace anvilwalk
