#pragma once

#include <anvilwalk/units.h>

#include <cstdint>

namespace anvilwalk {

// What the other balancers of the data centre reported of a target in the last load summary. All values are 0 if they
// reported nothing of it.
struct SharedTargetLoad {
    std::uint32_t openFlows = 0;
    // Requests in progress, opening packets that are not answered yet included.
    std::uint32_t requestsInProgress = 0;
    // Balancers whose packets the target has left unanswered, and balancers that got responses from it.
    std::uint32_t unansweredBalancers = 0;
    std::uint32_t answeredBalancers = 0;
    // Mean response time over all balancers, this one included; 0 if it is not known.
    Duration responseTime { 0 };
};

// The load summary that is in force at this balancer. Applies to all targets.
struct SharedLoadStatus {
    // Whether a summary has arrived that is young enough to be used.
    bool fresh = false;
    // Balancers that the summary covers, this one included.
    std::uint32_t balancers = 1;
    // Time for which the reports hold, on this balancer's clock.
    MonotonicTime takenAt;
};

} // namespace anvilwalk
