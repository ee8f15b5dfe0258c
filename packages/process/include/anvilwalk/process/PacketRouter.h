#pragma once

#include <anvilwalk/process/RoutingState.h>
#include <anvilwalk/request.h>

namespace anvilwalk {

// Decides what happens to a packet. The chosen design and the baselines implement it; implementations hold no
// sockets and read no clock, and are safe for use by several threads.
class PacketRouter {
public:
    virtual ~PacketRouter() = default;

    // A packet from the fabric.
    virtual Decision route(const PacketView&, MonotonicTime now) = 0;
    // A packet that another balancer relayed.
    virtual Decision routeRelayed(const RelayHeader&, const PacketView&, MonotonicTime now) = 0;
    // Puts a new state in force for the packets that follow.
    virtual void setState(RoutingStatePointer) = 0;
    // A heartbeat of a live peer that showed no newer version than this balancer has.
    virtual void notePeerContact(MonotonicTime) = 0;
};

} // namespace anvilwalk
