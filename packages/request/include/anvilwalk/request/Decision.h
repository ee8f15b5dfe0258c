#pragma once

#include <anvilwalk/request/DropReason.h>
#include <anvilwalk/units.h>

#include <cstdint>
#include <variant>

namespace anvilwalk {

// What the receiver of a relayed packet is asked to do; see proto/relay.proto.
enum class RelayPurpose {
    Decide,
    Replicate,
    Confirmed,
};

// Header of a packet that one balancer relays to another.
struct RelayHeader {
    RelayPurpose purpose = RelayPurpose::Decide;
    // Number of relays so far, the current one included.
    std::uint32_t hops = 0;
    BalancerId sender;
    // Owner that waits for the confirmation; empty for purpose Decide.
    BalancerId owner;
    ServiceId service;
    SlotIndex slot;
    // Proposed or confirmed target; none for purpose Decide.
    TargetId target;
    TableVersion tableVersion;
};

// Send the unchanged packet to the tunnel endpoint of a target.
struct ForwardToTarget {
    TargetId target;
    Ipv4Endpoint tunnel;
    ServiceId service;
    // Set by routers that use flow tokens: the token to write into the packet and the key the target's host checks.
    FlowToken token {};
    TargetKey targetKey {};
};

// Send the packet with the header to the relay endpoint of another balancer.
struct RelayToBalancer {
    Ipv4Endpoint relayEndpoint;
    RelayHeader header;
};

// Answer an opening packet with a TCP reset. The packet was never forwarded by any balancer.
struct RefuseFlow {
    ServiceId service;
};

// Tell the client that the flow has ended: its target is gone or its address is no longer served.
struct ResetFlow {
    DropReason reason = DropReason::NoTarget;
};

struct DropPacket {
    DropReason reason = DropReason::UnknownAddress;
};

// What happens to one packet.
using Decision = std::variant<ForwardToTarget, RelayToBalancer, RefuseFlow, ResetFlow, DropPacket>;

} // namespace anvilwalk
