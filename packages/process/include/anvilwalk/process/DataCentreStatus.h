#pragma once

#include <anvilwalk/units.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace anvilwalk {

// A target as the status object of its data centre shows it.
struct TargetStatus {
    std::string host;
    bool leaving = false;
    bool healthy = true;
    std::uint32_t weight = 1000;
    // As its load endpoint says; absent if it does not answer.
    std::optional<std::uint64_t> openConnections;
    std::uint64_t flowsLeft = 0;
};

// Counts of one service, summed over the balancers of a data centre. All but openFlows count from the start of
// each balancer.
struct ServiceSummary {
    ServiceName name;
    std::uint64_t openFlows = 0;
    std::uint64_t openings = 0;
    std::uint64_t refused = 0;
    std::uint64_t dropped = 0;
    std::uint64_t relayed = 0;
    std::vector<TargetStatus> targets = {};
};

struct BalancerVersions {
    BalancerId id;
    std::string state;
    ConfigVersion configVersion;
    TableVersion tableVersion;
};

// The status object of a data centre, as its table writer writes it.
struct DataCentreStatus {
    DataCentreId dataCentre;
    std::int64_t writtenAtUnixMs = 0;
    std::vector<BalancerVersions> balancers;
    std::vector<BalancerId> missingBalancers;
    std::vector<ServiceSummary> services;
};

// Reads the spec of a status object. Members that are absent count as 0 or empty, so that an older writer's
// object stays readable; only an object without data centre and time is refused.
Result<DataCentreStatus> decodeStatus(const nlohmann::json& spec);

} // namespace anvilwalk
