#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/version.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <peer.pb.h>
#include <string>
#include <vector>

namespace anvilwalk {

// Input from which the table writer computes the status object of its data centre.
struct StatusSummaryInput {
    DataCentreId dataCentre;
    BalancerId writer;
    std::int64_t writtenAtUnixMs = 0;
    std::vector<peer::BalancerStatus> balancers;
    // Balancers that did not answer the status request.
    std::vector<BalancerId> missingBalancers;
    // Last health report of each target.
    std::vector<TargetReport> targetReports;
    // Source of service names; may be null.
    ConfigSnapshotPointer config;
    // Source of the targets and their hosts; may be null.
    TableSnapshotPointer table;
};

// Returns the spec of the status object of a data centre, with counts summed over its balancers.
nlohmann::json summarizeStatus(const StatusSummaryInput&);

} // namespace anvilwalk
