#pragma once

#include <anvilwalk/placement/Target.h>
#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <cstddef>
#include <cstdint>

namespace anvilwalk {

struct Target;

// A target was chosen for an opening packet.
struct PlacementEvent {
    const FlowKey& flow;
    // Retransmission number of the opening packet; 0 for the first one.
    std::uint32_t copy = 0;
    const Target& target;
    // Number of the service's targets that were considered.
    std::size_t candidates = 0;
};

// A packet was not forwarded.
struct RefusalEvent {
    const FlowKey& flow;
    FlowToken token;
    DropReason reason = DropReason::UnknownAddress;
    // Whether a reset was sent to the client; otherwise the packet was dropped without a reply.
    bool reset = false;
};

// Receives notifications of routing decisions and of changes in the state of targets. The functions are called
// synchronously on the packet path, so implementations must not block. The default implementations do nothing.
class PlacementObserver {
public:
    virtual ~PlacementObserver() = default;

    virtual void onPlaced(const PlacementEvent&) { }
    virtual void onRefused(const RefusalEvent&) { }
    // A target did not respond to packets in time; it is avoided for a backoff time.
    virtual void onSuspected(const Target&, const FlowKey&) { }
    // A suspected target has responded again.
    virtual void onRecovered(const Target&) { }
    // A target's entry is missing from the store, or the target has terminated.
    virtual void onAbsent(const Target&) { }
    // The time from a request to the client's acknowledgement of the response was measured.
    virtual void onResponse(const Target&, Duration) { }

    // An observer that does nothing.
    static PlacementObserver& none();
};

} // namespace anvilwalk
