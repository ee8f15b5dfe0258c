#pragma once

#include <anvilwalk/process/RoutingState.h>
#include <anvilwalk/request.h>

namespace anvilwalk {

// A packet router whose balancers share state and relay packets to each other. The slot tables and the baselines
// implement it. Safe for use by several threads.
class RelayRouter : public PacketRouter {
public:
    // A packet that another balancer relayed.
    virtual Decision routeRelayed(const RelayHeader&, const PacketView&, MonotonicTime now) = 0;
    // Puts a new state in force for the packets that follow.
    virtual void setState(RoutingStatePointer) = 0;
    // A heartbeat of a live peer that showed no newer version than this balancer has.
    virtual void updatePeerContact(MonotonicTime) = 0;
};

} // namespace anvilwalk
