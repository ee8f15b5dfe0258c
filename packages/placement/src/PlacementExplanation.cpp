#include <anvilwalk/placement/PlacementExplanation.h>

namespace anvilwalk {

std::string_view toString(TargetRank rank)
{
    switch (rank) {
    case TargetRank::Responsive:
        return "responsive";
    case TargetRank::Degraded:
        return "degraded";
    case TargetRank::Tried:
        return "tried";
    case TargetRank::Unusable:
        break;
    }
    return "unusable";
}

std::string_view toString(TargetRankReason reason)
{
    switch (reason) {
    case TargetRankReason::None:
        break;
    case TargetRankReason::Missing:
        return "missing";
    case TargetRankReason::Suspected:
        return "suspected";
    case TargetRankReason::SilentForOthers:
        return "silent_for_others";
    case TargetRankReason::AlreadyTried:
        return "already_tried";
    case TargetRankReason::TokenCollision:
        return "token_collision";
    case TargetRankReason::Evacuated:
        return "evacuated";
    case TargetRankReason::Draining:
        return "draining";
    case TargetRankReason::Gone:
        return "gone";
    case TargetRankReason::WarmUpLimit:
        return "warm_up_limit";
    }
    return "none";
}

TargetRank rankFor(TargetRankReason reason)
{
    switch (reason) {
    case TargetRankReason::None:
        return TargetRank::Responsive;
    case TargetRankReason::Missing:
    case TargetRankReason::Suspected:
    case TargetRankReason::SilentForOthers:
        return TargetRank::Degraded;
    case TargetRankReason::AlreadyTried:
        return TargetRank::Tried;
    case TargetRankReason::TokenCollision:
    case TargetRankReason::Evacuated:
    case TargetRankReason::Draining:
    case TargetRankReason::Gone:
    case TargetRankReason::WarmUpLimit:
        break;
    }
    return TargetRank::Unusable;
}

} // namespace anvilwalk
