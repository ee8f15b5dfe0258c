#pragma once

#include <anvilwalk/placement/SharedTargetLoad.h>
#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace anvilwalk {

struct Route;
struct Target;

// Rank of a target for a new flow, compared before its load; lower is better.
enum class TargetRank : std::uint8_t {
    Responsive,
    // Did not respond to recent packets, or its entry is missing.
    Degraded,
    // This opening packet was already sent there.
    Tried,
    Unusable,
};

std::string_view toString(TargetRank);

// Why a target has its rank.
enum class TargetRankReason : std::uint8_t {
    // Nothing is known against the target.
    None,
    // The store no longer lists its entry.
    Missing,
    // It left packets of this balancer unanswered.
    Suspected,
    // It left packets of other balancers unanswered.
    SilentForOthers,
    AlreadyTried,
    // Another target has the same token.
    TokenCollision,
    // Its data centre is evacuated.
    Evacuated,
    Draining,
    Gone,
    // It warms up, and this balancer may not open another flow there now.
    WarmUpLimit,
};

std::string_view toString(TargetRankReason);

// Returns the rank that a reason gives a target.
TargetRank rankFor(TargetRankReason);

// What the choice for a new flow knows of one target.
struct TargetExplanation {
    const Target* target = nullptr;
    TargetRank rank = TargetRank::Unusable;
    TargetRankReason reason = TargetRankReason::None;
    // The target is in another data centre.
    bool remote = false;
    // Factor of the load for the target's response time or its warm-up.
    double slowdown = 1;
    // Requests per slot by this balancer's flows, the new one included; with the factor above and the penalty for
    // another data centre.
    double ownLoad = 0;
    // Requests in progress per slot, by the flows of all balancers of the data centre; nullopt without a load summary.
    std::optional<double> load {};
    // Probability that the flow goes to this target; 0 if it may not be chosen now.
    double share = 0;
};

// Where a new flow would go, and why.
struct PlacementExplanation {
    // Null if there is none for the address.
    const Route* route = nullptr;
    ServiceName service {};
    // Why the flow would go nowhere.
    std::optional<DropReason> refusal {};
    // Probability that admission control lets the flow pass.
    double admittedShare = 1;
    SharedLoadStatus sharedLoad {};
    // All targets of the service, in the order of their names.
    std::vector<TargetExplanation> targets {};
};

} // namespace anvilwalk
