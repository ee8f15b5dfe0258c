#pragma once

#include <anvilwalk/placement/RouteTable.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace anvilwalk {

struct WarmUpLimiterOptions {
    BalancerId balancer {};
    // Only balancers of a target's data centre open flows while it warms up.
    DataCentreId dataCentre {};
    // In any second, a target may get the service's rate times this factor, plus the slack.
    double factor = 1;
    double slack = 0;
    // Start of this balancer. The previous run under the same name may have opened flows until shortly before.
    MonotonicTime startedAt {};
    // A balancer that has been running for less than this knows too little of the others.
    std::chrono::milliseconds startupTime { 3000 };
    // A balancer is the owner of a target once all member lists of this time name it: the flows of previous owners
    // count for a second, and the others may learn of a change 2 s later, after two heartbeats.
    std::chrono::milliseconds settleTime { 3000 };
    // The owner of a target is one of so many longest-running members: the hubs, which all members know.
    std::size_t ownerCandidates = 4;
    // A member list that has not been confirmed for this long is not used: this balancer may have been frozen. Four
    // times the interval at which it is set.
    std::chrono::milliseconds maxMembersAge { 2000 };
    // Upper limit of the openings that are counted for each target, whatever the configured rate.
    std::size_t maxOpeningsPerSecond = 4096;
};

// Limits the new flows to targets that warm up. Without an agreement between balancers, the sum over all of them keeps
// within the limit, because one owner per target opens at most half of it: while balancers disagree on the members, a
// target may have two owners.
class WarmUpLimiter {
public:
    explicit WarmUpLimiter(const WarmUpLimiterOptions&);

    // Sets the services that have a limit.
    void setRoutes(const RouteTable&);
    bool isActive() const { return !m_limits.empty(); }
    std::size_t limitedServices() const { return m_limits.size(); }
    // Sets the running balancers of the data centre, this one included, the longest-running first. To be repeated
    // within maxMembersAge, also without a change.
    void setMembers(const std::vector<BalancerId>&, MonotonicTime now);
    // Returns whether this balancer may send an opening packet to a target now.
    bool mayOpen(const Target&, MonotonicTime now) const;
    // Records that an opening packet is sent to a target.
    void recordOpening(const Target&, MonotonicTime now);
    // Returns whether this balancer may be the owner of targets now.
    bool isCandidate(MonotonicTime now) const;
    // Forgets openings that no longer count.
    void expire(MonotonicTime now);
    // Opening packets sent to targets in their warm-up time.
    std::uint64_t openings() const { return m_openings; }

private:
    // The candidates from a time on.
    struct Candidates {
        std::vector<BalancerId> members;
        MonotonicTime since;
    };

    // Returns the openings in a second that this balancer may send to a target as its owner; nullptr without a limit.
    const std::size_t* limitOf(const Target&, MonotonicTime now) const;
    bool isOwner(const Target&, MonotonicTime now) const;
    static const BalancerId& ownerOf(const Target&, const std::vector<BalancerId>& members);

    WarmUpLimiterOptions m_options;
    absl::flat_hash_map<ServiceName, std::size_t> m_limits;
    // The current candidates and those of the settle time, in order of time.
    std::deque<Candidates> m_candidates;
    MonotonicTime m_membersAt;
    // Times of the last openings, in order.
    absl::flat_hash_map<FlowToken, std::deque<MonotonicTime>> m_openingTimes;
    std::uint64_t m_openings = 0;
};

} // namespace anvilwalk
