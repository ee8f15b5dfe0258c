#pragma once

#include <anvilwalk/load/LoadMessage.h>
#include <anvilwalk/placement.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <chrono>
#include <cstdint>
#include <vector>

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

    // Adds one part of a report. Targets that this balancer does not know are left out.
    void handle(const LoadReport&, MonotonicTime now);
    // Returns the sums of the reports that are recent. The header is left empty.
    LoadSummary summarize(MonotonicTime now);

private:
    struct Reporter {
        std::uint64_t sequence = 0;
        MonotonicTime receivedAt;
        absl::flat_hash_set<std::uint32_t> parts;
        std::vector<TargetLoadReport> targets;
        // Its response times are in the moving averages.
        bool counted = false;
    };
    struct ResponseTimes {
        std::uint32_t responses = 0;
        Duration sum { 0 };
    };

    void addReport(Reporter&, absl::flat_hash_map<FlowToken, TargetLoadSum>&,
        absl::flat_hash_map<FlowToken, ResponseTimes>&) const;
    bool isOwnFault(const Reporter&) const;
    void updateResponseTimes(const absl::flat_hash_map<FlowToken, ResponseTimes>&);
    // Returns the moving average; that of the last summary of another collector if there is none yet.
    Duration responseTimeOf(FlowToken) const;

    LoadCollectorOptions m_options;
    TargetCatalogue& m_targets;
    absl::flat_hash_map<BalancerId, Reporter> m_reporters;
    absl::flat_hash_map<FlowToken, Duration> m_responseTimes;
};

} // namespace anvilwalk
