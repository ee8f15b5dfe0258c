#pragma once

#include <anvilwalk/placement/Target.h>
#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <cstddef>
#include <cstdint>

namespace anvilwalk {

struct Target;

// A target was chosen for an opening packet.
struct PlacementNote {
    const FlowKey& flow;
    // Copies of the opening packet that the client sent before this one.
    std::uint32_t copy = 0;
    const Target& target;
    // Targets of the service that the choice was made from.
    std::size_t candidates = 0;
};

// A packet was not forwarded.
struct RefusalNote {
    const FlowKey& flow;
    FlowToken token;
    DropReason reason = DropReason::UnknownAddress;
    // The client was told by a reset; otherwise the packet was dropped in silence.
    bool reset = false;
};

// Told of decisions and of changes in what the balancer believes of its targets. Calls come while the decision is made;
// they must be short. The functions of this class do nothing.
class PlacementObserver {
public:
    virtual ~PlacementObserver() = default;

    virtual void onPlaced(const PlacementNote&) { }
    virtual void onRefused(const RefusalNote&) { }
    // A target left an opening packet unanswered; it is avoided for a while.
    virtual void onDoubted(const Target&, const FlowKey&) { }
    // A doubted target has opened a flow again.
    virtual void onTrusted(const Target&) { }
    // A target's entry is missing, or the target has ended.
    virtual void onAbsent(const Target&) { }
    // Time from a request to the client's acknowledgement of its answer.
    virtual void onResponse(const Target&, Duration) { }

    // An observer that does nothing.
    static PlacementObserver& none();
};

} // namespace anvilwalk
