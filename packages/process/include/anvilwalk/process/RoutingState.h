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
    // hashText(id), the member's input to the rendezvous hash of a slot.
    std::uint64_t key = 0;
    Ipv4Endpoint relayEndpoint;
    // The member holds every record of the slots that it owns or backs up.
    bool settled = false;
};

// A target that the balancers suspect to have failed while no new table can be written.
struct DoubtState {
    TargetId target;
    // Every live balancer has acknowledged the doubt; opening packets go to a fallback target.
    bool agreed = false;
    MonotonicTime since;
};

// Input of packet routing, apart from flow records and time. Immutable; replaced as a whole.
struct RoutingState {
    BalancerId self;
    // This balancer is stopping: it owns no slots and relays packets of unstable slots to their owners.
    bool selfLeaving = false;
    ConfigSnapshotPointer config;
    TableSnapshotPointer table;
    // Live members that are not leaving. Includes this balancer unless it is leaving.
    std::vector<RoutingMember> members;
    absl::flat_hash_map<TargetId, DoubtState> doubts;
    // Local time at which a slot exception was first seen, by service and slot.
    absl::flat_hash_map<std::pair<ServiceId, SlotIndex>, MonotonicTime> announcedAt;
    // Other live balancers are known. If this balancer then loses contact to them, it may be partitioned or was
    // paused.
    bool hasLivePeers = false;
    // The balancer has withdrawn its route from the fabric but still receives packets: it routes them by its last
    // state, without fencing.
    bool servesAlone = false;
};

using RoutingStatePointer = std::shared_ptr<const RoutingState>;

// Live members ordered by rendezvous hash for a slot: the owner first, then the backup.
std::vector<const RoutingMember*> rankMembers(const RoutingState&, ServiceId, SlotIndex);

} // namespace anvilwalk
