#pragma once

#include <anvilwalk/process/ControlPlane.h>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <set>

namespace anvilwalk {

// Evaluates target health from the reports of the targets' endpoints and from the flows seen by this balancer. Neither
// source is trusted alone: a target is in doubt when both report it bad for 1 s, or one does for 5 s while the other
// does not contradict it.
class TargetMonitor {
public:
    explicit TargetMonitor(const ControlTestSwitches&);

    void handleReport(const TargetReport&, MonotonicTime now);
    void handleObservation(const TargetObservation&, MonotonicTime now);
    // Tracks the targets of the given table and drops those that it no longer contains.
    void handleTable(const TableSnapshot&);
    void tick(MonotonicTime now);

    // Targets in doubt according to this balancer.
    const std::set<TargetId>& doubted() const { return m_doubted; }
    // Targets that currently look bad, whether or not they are in doubt yet.
    std::set<TargetId> suspected() const;
    bool isDraining(TargetId) const;
    // Wanted share of slots in thousandths: 1000 at normal load, less for a target loaded above the mean of its
    // service, halved for a target that sheds load.
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

    ControlTestSwitches m_switches;
    absl::flat_hash_map<TargetId, TargetState> m_targets;
    std::set<TargetId> m_doubted;
    MonotonicTime m_nextLoadStep {};
};

} // namespace anvilwalk
