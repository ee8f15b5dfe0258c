#pragma once

#include "PacketLoop.h"
#include "ResponseHistogram.h"

#include <anvilwalk/placement.h>

#include <string>

namespace anvilwalk {

// What the metrics of one balancer are made from.
struct EdgeMetricsSample {
    const TokenRouterCounters& router;
    const PacketLoopCounters& packets;
    const ResponseHistogram& responses;
    std::size_t targets = 0;
    std::size_t trackedFlows = 0;
    std::uint64_t configVersion = 0;
    Duration targetsAge { 0 };
    Duration routesAge { 0 };
    std::uint64_t logLinesLost = 0;
    std::uint64_t peerViewsTaken = 0;
};

// The metrics in the text format of Prometheus (docs/OPERATIONS.md lists them).
std::string renderMetrics(const EdgeMetricsSample&);

} // namespace anvilwalk
