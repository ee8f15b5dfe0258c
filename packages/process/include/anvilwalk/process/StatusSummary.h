#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/version.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <peer.pb.h>
#include <string>
#include <vector>

namespace anvilwalk {

// What the table writer knows when it sums up its data centre.
struct StatusSummaryInput {
    DataCentreId dataCentre;
    BalancerId writer;
    std::int64_t writtenAtUnixMs = 0;
    std::vector<peer::BalancerStatus> balancers;
    // Balancers that should have answered and did not.
    std::vector<BalancerId> missing;
    // The last answer of each target's health endpoint.
    std::vector<TargetReport> targetReports;
    // Names of services and hosts; either may be null.
    ConfigSnapshotPointer config;
    TableSnapshotPointer table;
};

// Spec of the status object of a data centre: counts of all its balancers, summed.
nlohmann::json summarizeStatus(const StatusSummaryInput&);

} // namespace anvilwalk
