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
    // Load added to targets of other data centres, in requests per slot.
    double remotePenalty = 1.5;
    // Load of an open flow without a request in progress, in requests.
    double idleFlowLoad = 0.1;
    // Load factor of a target during its warm-up time.
    double coldFactor = 1.6;
    // Upper limit of the load factor for the ratio of a target's response time to the fastest of its service.
    double maxSlowdown = 6.0;
    // How long a suspected target is avoided; doubles each time its suspicion level grows by another
    // suspicionThreshold.
    std::chrono::milliseconds initialBackoff { 1000 };
    // Upper limit of that time, so that a recovered target is tried again.
    std::chrono::milliseconds maxBackoff { 8000 };
    // Measured response times older than this are ignored.
    std::chrono::milliseconds responseTimeMaxAge { 3000 };
    std::uint64_t seed = 0;
};

// Chooses the target of a new flow: the least loaded responsive one, by this balancer's own load estimate.
class TargetChooser {
public:
    explicit TargetChooser(const TargetChooserOptions&);

    // Returns the target for a new flow, preferring targets not yet tried for it. Null if no target accepts new flows.
    Target* choose(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now);

private:
    struct Candidate;

    int rankOf(const Target&, const TriedTargets&, MonotonicTime now) const;
    double loadOf(const Target&, Duration fastest, MonotonicTime now) const;
    bool isBackedOff(const Target&, MonotonicTime now) const;

    TargetChooserOptions m_options;
    pcg32 m_random;
};

} // namespace anvilwalk
