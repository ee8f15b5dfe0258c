#pragma once

#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/units.h>

#include <cstdint>
#include <pcg_random.hpp>

namespace anvilwalk {

struct TargetChooserOptions {
    // Targets of this data centre are preferred.
    DataCentreId dataCentre;
    // Load, in requests for each slot, by which a target of another data centre must be better to be chosen.
    double remotePenalty = 1.5;
    // Load that one open flow without a request in progress stands for, in requests.
    double idleFlowLoad = 0.1;
    // Factor on the load of a target that has just started.
    double coldFactor = 1.6;
    // Upper limit of the factor by which a target's responses may be slower than its service's fastest.
    double maxSlowFactor = 6.0;
    // How long a doubted target is avoided; doubles with each further doubtThreshold of signs.
    std::chrono::milliseconds avoidUnanswered { 1000 };
    // Upper limit of that time, so that a target that has recovered is tried again.
    std::chrono::milliseconds maxAvoid { 8000 };
    // A response time older than this no longer counts.
    std::chrono::milliseconds responseTimeValid { 3000 };
    std::uint64_t seed = 0;
};

// Chooses the target of a new flow: the least loaded one, as far as this balancer sees, among those that answer.
class TargetChooser {
public:
    explicit TargetChooser(const TargetChooserOptions&);

    // The target for a new flow, other than those tried for it if possible. Null if the service has none that takes new
    // flows.
    Target* choose(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now);

private:
    struct Candidate;

    int rankOf(const Target&, const TriedTargets&, MonotonicTime now) const;
    double loadOf(const Target&, Duration fastest, MonotonicTime now) const;
    bool isAvoided(const Target&, MonotonicTime now) const;

    TargetChooserOptions m_options;
    pcg32 m_random;
};

} // namespace anvilwalk
