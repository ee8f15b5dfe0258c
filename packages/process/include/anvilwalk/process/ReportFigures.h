#pragma once

#include <anvilwalk/process/DataCentreStatus.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilwalk {

// What a report is made from.
struct ReportInput {
    std::int64_t nowUnixMs = 0;
    ConfigVersion configVersion;
    // Services that should have targets in a data centre, by the VM list.
    std::set<std::pair<DataCentreId, ServiceName>> expected;
    // Data centres of the VM list; those with a status count as well.
    std::set<DataCentreId> dataCentres;
    // Entry VMs of the VM list that are not leaving.
    std::set<BalancerId> listedBalancers;
    std::vector<DataCentreStatus> statuses;
    // Counts from the beginning of the interval that the report covers; empty for counts since the start of
    // the balancers.
    std::vector<DataCentreStatus> earlierStatuses;
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
    // Absent if no healthy target tells its open connections.
    std::optional<double> imbalance = {};
    // Flows on leaving targets.
    std::uint64_t flowsLeft = 0;
};

// A line of the report: a service that has or should have targets or traffic in a data centre. The counts are
// absent if the data centre has no status of the service.
struct ReportRow {
    DataCentreId dataCentre;
    ServiceName service;
    std::optional<ReportCounts> counts;
};

// Age and gaps of what is known of a data centre.
struct ReportPart {
    DataCentreId dataCentre;
    // Absent if there is no status.
    std::optional<std::int64_t> ageMs;
    std::size_t balancers = 0;
    // Balancers whose configuration is the version of the report or newer.
    std::size_t upToDate = 0;
    std::vector<BalancerId> missingBalancers = {};
    // Targets whose load endpoint does not answer.
    std::vector<std::string> targetsWithoutLoad = {};
};

// All figures of a report, without any layout. Rows are sorted by data centre and service.
struct ReportFigures {
    std::int64_t nowUnixMs = 0;
    ConfigVersion configVersion;
    std::vector<ReportRow> rows;
    std::vector<ReportPart> parts;
    // Balancers in the VM list that no status names; the list does not tell which status should.
    std::vector<BalancerId> unseenBalancers;

    // Whether every data centre has a recent status and nothing is missing in it.
    bool complete() const;
    // Whether recent statuses of all data centres show the version of the report in force on every balancer.
    bool inForceEverywhere() const;
};

// The table writer writes every 5 s; after three missed writes a status is old.
inline constexpr std::int64_t oldStatusMs = 15'000;

ReportFigures computeReport(const ReportInput&);

} // namespace anvilwalk
