#pragma once

#include <anvilwalk/process/DataCentreStatus.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilwalk {

// Input of a report.
struct ReportInput {
    std::int64_t nowUnixMs = 0;
    ConfigVersion configVersion;
    // Services that have targets in a data centre according to the VM list.
    std::set<std::pair<DataCentreId, ServiceName>> expectedServices;
    // Data centres in the VM list. The report also covers data centres that only have a status.
    std::set<DataCentreId> dataCentres;
    // Balancers in the VM list that are not leaving.
    std::set<BalancerId> listedBalancers;
    std::vector<DataCentreStatus> statuses;
    // Statuses at the start of the report interval. If empty, the report shows counts since the start of the
    // balancers.
    std::vector<DataCentreStatus> baselineStatuses;
};

// Counts of a service in a data centre.
struct ReportCounts {
    std::uint64_t targets = 0;
    std::uint64_t leaving = 0;
    std::uint64_t openFlows = 0;
    std::uint64_t newFlows = 0;
    std::uint64_t refused = 0;
    std::uint64_t dropped = 0;
    std::uint64_t relayed = 0;
    // Highest load of a healthy target divided by the mean load, where load is open connections by weight. Absent
    // if no healthy target reports its open connections.
    std::optional<double> imbalance = {};
    // Flows on leaving targets.
    std::uint64_t flowsLeft = 0;
};

// A row of the report: a service that has targets or traffic in a data centre, or should have targets there. The
// counts are absent if the status of the data centre is absent or does not contain the service.
struct ReportRow {
    DataCentreId dataCentre;
    ServiceName service;
    std::optional<ReportCounts> counts;
};

// Age and gaps of the status of a data centre.
struct DataCentreCoverage {
    DataCentreId dataCentre;
    // Age of the status; absent if there is none.
    std::optional<std::int64_t> ageMs;
    std::size_t balancers = 0;
    // Number of balancers with the configuration version of the report or a newer one.
    std::size_t upToDate = 0;
    std::vector<BalancerId> missingBalancers = {};
    // Hosts of the targets whose health endpoint does not answer.
    std::vector<std::string> targetsWithoutLoad = {};
};

// All figures of a report, independent of its layout. Rows are sorted by data centre and service.
struct ReportFigures {
    std::int64_t nowUnixMs = 0;
    ConfigVersion configVersion;
    std::vector<ReportRow> rows;
    std::vector<DataCentreCoverage> coverage;
    // Balancers in the VM list that no status contains. The VM list does not show which status should contain them.
    std::vector<BalancerId> unreportedBalancers;

    // Returns whether every data centre has a recent status without missing balancers or loads.
    bool complete() const;
    // Returns whether, according to recent statuses of all data centres, every balancer has the configuration version
    // of the report or a newer one in force.
    bool inForceEverywhere() const;
};

// The table writer writes the status every 5 s; a status is old after three missed writes.
inline constexpr std::int64_t maxStatusAgeMs = 15'000;

ReportFigures computeReport(const ReportInput&);

} // namespace anvilwalk
