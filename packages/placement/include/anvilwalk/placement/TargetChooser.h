#pragma once

#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/PlacementExplanation.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/placement/WarmUpLimiter.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
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
    // Time over which the rate of the flows that this balancer opens is averaged.
    std::chrono::milliseconds openingRateTime { 2000 };
    // Targets whose own load exceeds the least one by at most this share count as equally loaded.
    double ownLoadTolerance = 0.15;
    // A target is avoided if at least so many other balancers report that it leaves packets unanswered, and fewer get
    // responses from it. More than one, because a balancer may be at fault itself.
    std::uint32_t minUnansweredBalancers = 2;
    std::uint64_t seed = 0;
};

// Chooses the target of a new flow. Without a load summary: the least loaded responsive target by this balancer's own
// estimate. With one: among the targets that the own flows load least, at random, weighted by the room that each has
// left by the flows of all balancers. The others have opened flows since they reported and choose by the same summary,
// so the target that is least loaded in it would get all of them; therefore room is counted below the level to which
// the flows that were probably opened since fill the least loaded targets.
class TargetChooser {
public:
    explicit TargetChooser(const TargetChooserOptions&);

    // Sets what limits the flows to targets that warm up; null for nothing.
    void setWarmUpLimiter(const WarmUpLimiter* limiter) { m_warmUp = limiter; }
    // Returns the target for a new flow, preferring targets not yet tried for it. Null if no target accepts new flows.
    Target* choose(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now, const SharedLoadStatus& = {});

    // Explains the choice that choose() would make for these arguments. Changes no state.
    std::vector<TargetExplanation> explain(
        const std::vector<Target*>&, const TriedTargets&, MonotonicTime now, const SharedLoadStatus& = {}) const;

private:
    // A target with the best rank among those that a flow may go to.
    struct Candidate {
        Target* target = nullptr;
        // Requests in progress by this balancer's flows, the new one included, per slot of a target of usual speed.
        double ownLoad = 0;
        // The same by the flows of all balancers, without the new one.
        double load = 0;
        // Slots, fewer for a slow target.
        double capacity = 1;
    };
    // Moving count of the flows that this balancer opened at a service.
    struct OpeningRate {
        double count = 0;
        MonotonicTime updatedAt;
    };

    Target* chooseLeastLoaded(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now);
    Target* chooseByRoom(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now, const SharedLoadStatus&);
    // Fills m_candidates, the least loaded first.
    void collectCandidates(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now);
    // Computes the loads and the capacity of a target; usual is the response time of a target of usual speed.
    Candidate candidateFor(Target&, Duration usual, MonotonicTime now) const;
    // Removes the candidates whose own load exceeds the least one. Returns the load below which room is counted.
    double narrowCandidates(MonotonicTime now, const SharedLoadStatus&);
    static double roomOf(const Candidate&, double level);
    void explainLeastLoaded(const std::vector<Target*>&, MonotonicTime now, std::vector<TargetExplanation>&) const;
    void explainByRoom(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now, const SharedLoadStatus&,
        std::vector<TargetExplanation>&) const;
    // Picks one of m_candidates at random, weighted by its room below a load.
    Target* pickByRoom(double level);
    // Returns the load up to which a number of requests fills the least loaded candidates.
    double fillLevel(double requests) const;
    // Returns the flows per second that this balancer opens at a service, the one being placed included.
    double recordOpening(const ServiceName&, MonotonicTime now);
    TargetRank rankOf(const Target&, const TriedTargets&, MonotonicTime now) const;
    TargetRankReason rankReasonOf(const Target&, const TriedTargets&, MonotonicTime now) const;
    // Returns the shortest recent response time as this balancer measures it.
    Duration fastestOf(const std::vector<Target*>&, MonotonicTime now) const;
    double slowdownOf(const Target&, Duration fastest, MonotonicTime now) const;
    double loadOf(const Target&, Duration fastest, MonotonicTime now) const;
    double sharedSlowdownOf(const Target&, Duration usual, MonotonicTime now) const;
    bool isBackedOff(const Target&, MonotonicTime now) const;
    bool isSilentForOthers(const Target&) const;

    TargetChooserOptions m_options;
    const WarmUpLimiter* m_warmUp = nullptr;
    pcg32 m_random;
    absl::flat_hash_map<ServiceName, OpeningRate> m_openingRates;
    // Used by one choice; kept to reuse the memory.
    std::vector<Candidate> m_candidates;
    std::vector<Duration> m_responseTimes;
};

} // namespace anvilwalk
