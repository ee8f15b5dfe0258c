#pragma once

#include <anvilwalk/process/RoutingState.h>
#include <anvilwalk/request.h>

namespace anvilwalk {

// Interface of packet routers whose balancers share state and relay packets to each other, implemented by SlotRouter
// and the baselines of the benchmarks. Thread-safe.
class RelayRouter : public PacketRouter {
public:
    // Routes a packet that another balancer relayed.
    virtual Decision routeRelayed(const RelayHeader&, const PacketView&, MonotonicTime now) = 0;
    // Replaces the state; later packets are routed by the new one.
    virtual void setState(RoutingStatePointer) = 0;
    // Records the time of a heartbeat from a live peer that reports no newer version than this balancer has.
    virtual void updatePeerContact(MonotonicTime) = 0;
};

} // namespace anvilwalk
