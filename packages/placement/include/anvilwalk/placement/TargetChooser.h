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
    // Requests in progress per slot of the own data centre, over all balancers, from which on the penalty counts for
    // all balancers together, so that flows go elsewhere: a request then waits for as long as it runs, which is longer
    // than a crossing takes. Below that, flows stay where a cut between data centres does not break them.
    double crossingLoad = 2.0;
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
    // A new sample of a target's service time counts as one part in so many. A sample that was taken while the target's
    // queue grew or shrank is off by a multiple; a target's speed changes rarely.
    int serviceTimeSmoothing = 16;
    // Seconds for which a flow opened in the last second counts at most, besides its request in progress. Only spreads
    // flows over targets that are equally loaded otherwise; longer requests are seen in progress.
    double maxOpeningTime = 0.1;
    // A target is avoided if at least so many other balancers report that it leaves packets unanswered, and fewer get
    // responses from it. More than one, because a balancer may be at fault itself.
    std::uint32_t minUnansweredBalancers = 2;
    std::uint64_t seed = 0;
};

// Chooses the target of a new flow: the least loaded responsive one. Without a load summary the load is this balancer's
// own estimate. With one, it is the sum of this balancer's load and the mean load by one other balancer, so that each
// balancer corrects its own share of an imbalance. If each corrected all of it, all would choose the target that is
// least loaded in the summary. Requests of the summary count for as long as they are probably in progress.
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
    // A target with the best rank among those that a flow may go to. Loads are in requests per slot of a target of
    // usual speed.
    struct Candidate {
        Target* target = nullptr;
        // Service time relative to the usual one.
        double slowdown = 1;
        // Slots, fewer for a slow target.
        double capacity = 1;
        // Whether the target is in this balancer's data centre.
        bool local = true;
        // Expected load by the own flows of about the last second, relative to the mean.
        double recentLoad = 0;
        // Mean load by one other balancer, with the penalty of a remote target.
        double othersLoad = 0;
    };

    Target* chooseLeastLoaded(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now);
    Target* chooseBySharedLoad(
        const std::vector<Target*>&, const TriedTargets&, MonotonicTime now, const SharedLoadStatus&);
    // Fills m_candidates.
    void collectCandidates(
        const std::vector<Target*>&, const TriedTargets&, MonotonicTime now, const SharedLoadStatus&);
    // Sets the load by others of the local or of the remote candidates. On all of them together, the others have as
    // much load as this balancer, which is known now; the summary tells which of them have more.
    void estimateOthers(bool local, MonotonicTime now, const SharedLoadStatus&);
    // Returns the load added to remote candidates.
    double remotePenalty(const SharedLoadStatus&) const;
    double ownLoadOf(const Candidate&) const;
    double estimatedLoadOf(const Candidate&) const;
    // Learns the service times from a new summary. The response time of a target without a queue is its service time. A
    // target with a longer queue than the mean is slower than estimated; how much is not known from its response time,
    // because that includes waiting, or rejections that take no work.
    void updateServiceTimes(const std::vector<Target*>&, const SharedLoadStatus&) const;
    void explainLeastLoaded(const std::vector<Target*>&, MonotonicTime now, std::vector<TargetExplanation>&) const;
    void explainBySharedLoad(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now,
        const SharedLoadStatus&, std::vector<TargetExplanation>&) const;
    TargetRank rankOf(const Target&, const TriedTargets&, MonotonicTime now) const;
    TargetRankReason rankReasonOf(const Target&, const TriedTargets&, MonotonicTime now) const;
    // Returns the shortest recent response time as this balancer measures it.
    Duration fastestOf(const std::vector<Target*>&, MonotonicTime now) const;
    // Factor of the load for the response times that this balancer measures, or for the warm-up time.
    double ownSlowdownOf(const Target&, Duration fastest, MonotonicTime now) const;
    double loadOf(const Target&, Duration fastest, MonotonicTime now) const;
    // Factor of the load for the learnt service time and for the warm-up time.
    double slowdownOf(const Target&, Duration usual, MonotonicTime now) const;
    bool isBackedOff(const Target&, MonotonicTime now) const;
    bool isSilentForOthers(const Target&) const;

    TargetChooserOptions m_options;
    const WarmUpLimiter* m_warmUp = nullptr;
    pcg32 m_random;
    // Used by one choice; kept to reuse the memory.
    std::vector<Candidate> m_candidates;
    std::vector<Duration> m_serviceTimes;
};

} // namespace anvilwalk
