#pragma once

#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/PlacementExplanation.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/placement/WarmUpLimiter.h>
#include <anvilwalk/units.h>

#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

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
    // A target is avoided if at least so many other balancers report that it leaves packets unanswered, and fewer get
    // responses from it. More than one, because a balancer may be at fault itself.
    std::uint32_t minUnansweredBalancers = 2;
    std::uint64_t seed = 0;
};

// Chooses the target of a new flow: the least loaded responsive one, by this balancer's own load estimate. The load
// summary counts as evidence against targets that are silent for others; its loads are older than most requests take.
class TargetChooser {
public:
    explicit TargetChooser(const TargetChooserOptions&);

    // Sets what limits the flows to targets that warm up; null for nothing.
    void setWarmUpLimiter(const WarmUpLimiter* limiter) { m_warmUp = limiter; }
    // Returns the target for a new flow, preferring targets not yet tried for it. Null if no target accepts new flows.
    Target* choose(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now);

    // Explains the choice that choose() would make for these arguments. Changes no state.
    std::vector<TargetExplanation> explain(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now) const;

private:
    // Sets the loads and, for the best rank, the shares.
    void explainLoads(const std::vector<Target*>&, MonotonicTime now, std::vector<TargetExplanation>&) const;
    TargetRank rankOf(const Target&, const TriedTargets&, MonotonicTime now) const;
    TargetRankReason rankReasonOf(const Target&, const TriedTargets&, MonotonicTime now) const;
    // Returns the shortest recent response time as this balancer measures it.
    Duration fastestOf(const std::vector<Target*>&, MonotonicTime now) const;
    // Factor of the load for the response times that this balancer measures, or for the warm-up time.
    double slowdownOf(const Target&, Duration fastest, MonotonicTime now) const;
    double loadOf(const Target&, Duration fastest, MonotonicTime now) const;
    bool isBackedOff(const Target&, MonotonicTime now) const;
    bool isSilentForOthers(const Target&) const;

    TargetChooserOptions m_options;
    const WarmUpLimiter* m_warmUp = nullptr;
    pcg32 m_random;
};

} // namespace anvilwalk
