#pragma once

#include <anvilwalk/request/Decision.h>
#include <anvilwalk/request/PacketView.h>
#include <anvilwalk/units.h>

namespace anvilwalk {

// Decides what happens to a packet. Implementations hold no sockets and read no clock.
class PacketRouter {
public:
    virtual ~PacketRouter() = default;

    // A packet from the fabric.
    virtual Decision route(const PacketView&, MonotonicTime now) = 0;
};

} // namespace anvilwalk
