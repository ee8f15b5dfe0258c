#pragma once

#include <anvilwalk/load/LoadMessage.h>
#include <anvilwalk/placement.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <chrono>
#include <cstdint>

namespace anvilwalk {

struct LoadCollectorOptions {
    // A balancer whose last report is older is left out: it has stopped, is frozen or cut off. Two intervals of reports
    // and a half.
    std::chrono::milliseconds maxReportAge { 2500 };
    // A report in which more than this share of at least minTargetsForFault targets is silent gives no evidence against
    // any of them: the fault is on the reporter's side.
    double maxSilentShare = 0.5;
    std::size_t minTargetsForFault = 4;
    // Number of responses at which a new mean and the moving average of a response time weigh the same.
    double responseTimeMemory = 10;
    // Limits the memory that forged reports can use.
    std::size_t maxReporters = 4096;
};

// Sums the load reports of a data centre's balancers.
class LoadCollector {
public:
    LoadCollector(const LoadCollectorOptions&, TargetCatalogue&);

    // Adds one part of a report. Targets that this balancer does not know are left out, and so are repeated ones, so
    // that a balancer counts once for each target.
    void handle(const LoadReport&, MonotonicTime now);
    // Returns the sums of the reports that are recent, and the response times of all targets for which they are known.
    // The header is left empty.
    LoadSummary summarize(MonotonicTime now);

private:
    struct Reporter {
        std::uint64_t sequence = 0;
        MonotonicTime receivedAt;
        absl::flat_hash_set<std::uint32_t> parts;
        absl::flat_hash_map<FlowToken, TargetLoadReport> targets;
    };
    struct ResponseTimes {
        std::uint64_t responses = 0;
        Duration sum { 0 };
    };

    void addReport(const Reporter&, absl::flat_hash_map<FlowToken, TargetLoadSum>&) const;
    bool isOwnFault(const Reporter&) const;
    void updateResponseTimes();
    // Returns the moving average; that of the last summary of another collector if there is none yet.
    Duration responseTimeOf(FlowToken) const;

    LoadCollectorOptions m_options;
    TargetCatalogue& m_targets;
    absl::flat_hash_map<BalancerId, Reporter> m_reporters;
    // Response times that have been reported since the last summary.
    absl::flat_hash_map<FlowToken, ResponseTimes> m_newResponseTimes;
    // Moving averages.
    absl::flat_hash_map<FlowToken, Duration> m_responseTimes;
};

} // namespace anvilwalk
