#pragma once

#include <anvilwalk/process/CellController.h>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <set>

namespace anvilwalk {

// Judges targets by what their endpoints report and by what this balancer sees of their flows. Neither is
// trusted alone: they must agree for 1 s, or one must hold for 5 s while the other does not contradict it.
class TargetMonitor {
public:
    explicit TargetMonitor(const CellTestSwitches&);

    void handleReport(const TargetReport&, MonotonicTime now);
    void handleObservation(const TargetObservation&, MonotonicTime now);
    // Follows the targets of the table in force and forgets those that are gone.
    void handleTable(const TableSnapshot&);
    void tick(MonotonicTime now);

    // Targets in doubt by what this balancer knows.
    const std::set<TargetId>& doubted() const { return m_doubted; }
    // Targets that look bad at present, in doubt or not yet.
    std::set<TargetId> suspected() const;
    bool isDraining(TargetId) const;
    // Wanted share in thousandths: 1000 for a target with a usual load, less for one that is loaded above the
    // mean of its service, half for one that sheds.
    std::uint32_t wantedShare(TargetId) const;

private:
    enum class Verdict {
        Unknown,
        Good,
        Bad,
    };
    struct TargetState {
        ServiceId service;
        TargetReport report;
        std::optional<MonotonicTime> reportedAt;
        std::optional<double> smoothedLoad;
        std::optional<MonotonicTime> lastRepeats;
        std::optional<MonotonicTime> lastProgress;
        std::uint32_t repeats = 0;
        std::uint32_t loadShare = 1000;
        std::optional<MonotonicTime> bothBadSince;
        std::optional<MonotonicTime> oneBadSince;
        std::optional<MonotonicTime> goodSince;
    };

    Verdict endpointVerdict(const TargetState&, MonotonicTime now) const;
    static Verdict ownVerdict(const TargetState&, MonotonicTime now);
    bool judge(TargetState&, bool doubted, MonotonicTime now) const;
    void stepLoadShares();

    CellTestSwitches m_switches;
    absl::flat_hash_map<TargetId, TargetState> m_targets;
    std::set<TargetId> m_doubted;
    MonotonicTime m_nextLoadStep {};
};

} // namespace anvilwalk
