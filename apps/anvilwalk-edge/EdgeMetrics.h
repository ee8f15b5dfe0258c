#pragma once

#include "PacketLoop.h"
#include "ResponseHistogram.h"

#include <anvilwalk/load.h>
#include <anvilwalk/placement.h>

#include <string>

namespace anvilwalk {

// Values from which the metrics of one balancer are rendered.
struct EdgeMetricsSample {
    const TokenRouterCounters& router;
    const PacketLoopCounters& packets;
    const ResponseHistogram& responses;
    std::size_t targets = 0;
    std::size_t trackedFlows = 0;
    std::uint64_t configVersion = 0;
    StoreEra storeEra {};
    Duration targetsAge { 0 };
    Duration routesAge { 0 };
    std::uint64_t logLinesLost = 0;
    std::uint64_t peerViewsApplied = 0;
    // Balancers of the data centre that this one hears from, itself included.
    std::uint32_t members = 1;
    bool isRelay = false;
    std::size_t evacuatedDataCentres = 0;
    SharedLoadStatus sharedLoad {};
    Duration sharedLoadAge { 0 };
    LoadExchangeCounters loadMessages {};
    // New flows that admission control refused.
    std::uint64_t refusedFlows = 0;
    // Services with a warm-up limit, and opening packets sent to their targets while these warmed up.
    std::size_t warmUpLimits = 0;
    std::uint64_t coldOpenings = 0;
};

// Renders the metrics in the Prometheus text format (docs/OPERATIONS.md lists them).
std::string renderMetrics(const EdgeMetricsSample&);

} // namespace anvilwalk
