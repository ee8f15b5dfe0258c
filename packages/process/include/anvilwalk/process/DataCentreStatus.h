#pragma once

#include <anvilwalk/units.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace anvilwalk {

// Status of a target in the status object of its data centre.
struct TargetStatus {
    std::string host;
    bool leaving = false;
    bool healthy = true;
    std::uint32_t weight = 1000;
    // Reported by the target's health endpoint; absent if the endpoint does not answer.
    std::optional<std::uint64_t> openConnections;
    // Open flows that remain on a leaving target.
    std::uint64_t flowsLeft = 0;
};

// Counts of one service, summed over the balancers of a data centre. openFlows is a current value; the other
// counts are cumulative since the start of each balancer.
struct ServiceSummary {
    ServiceName name;
    std::uint64_t openFlows = 0;
    std::uint64_t openings = 0;
    std::uint64_t refused = 0;
    std::uint64_t dropped = 0;
    std::uint64_t relayed = 0;
    std::vector<TargetStatus> targets = {};
};

// State of a balancer and the versions that it has in force.
struct BalancerVersions {
    BalancerId id;
    std::string state;
    ConfigVersion configVersion;
    TableVersion tableVersion;
};

// Decoded status object of a data centre, which the table writer of that data centre writes.
struct DataCentreStatus {
    DataCentreId dataCentre;
    std::int64_t writtenAtUnixMs = 0;
    std::vector<BalancerVersions> balancers;
    std::vector<BalancerId> missingBalancers;
    std::vector<ServiceSummary> services;
};

// Decodes the spec of a status object. Absent members get default values, so that an object from an older writer
// stays readable. Returns InvalidArgument if the data centre or the write time is absent or not valid.
Result<DataCentreStatus> decodeStatus(const nlohmann::json& spec);

} // namespace anvilwalk
