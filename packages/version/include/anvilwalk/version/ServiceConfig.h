#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilwalk {

// How long the flows of a service are and what a flow carries.
enum class TrafficKind {
    // Flows stay open for hours; the target sends updates.
    Stream,
    // A flow carries one or a few requests.
    Request,
};

// Limits of a service in one data centre; 0 means no limit.
struct ServiceLimits {
    std::uint32_t newFlowsPerSecond = 0;
    std::uint32_t openFlows = 0;
};

// A target that the service file names itself instead of taking it from the VM list.
struct ConfiguredTarget {
    std::string host;
    DataCentreId dataCentre;
    Ipv4Endpoint tunnel;
    // URL of the health endpoint; empty if there is none.
    std::string healthUrl;
    // Relative share of the service's flows, in thousandths.
    std::uint32_t weight = 1000;
};

// The published settings of one service.
struct ServiceConfig {
    ServiceId id;
    ServiceName name;
    std::vector<ServiceAddress> addresses;
    TrafficKind traffic = TrafficKind::Request;
    bool idempotent = false;
    // A flow without a packet for this long is over.
    std::chrono::milliseconds idleDeadline { 300'000 };
    // Time after which a leaving target is reported as overdue. It never cuts a flow.
    std::chrono::milliseconds drainDeadline { 28'800'000 };
    ServiceLimits limits;
    // Share of each data centre's targets in thousandths; a data centre that is not named has 1000.
    std::map<DataCentreId, std::uint32_t> dataCentreWeights;
    // Take targets from the VM list entries that name this service.
    bool targetsFromVmList = true;
    std::vector<ConfiguredTarget> targets;
};

} // namespace anvilwalk
