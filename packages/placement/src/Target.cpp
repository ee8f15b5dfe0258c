#include <anvilwalk/placement/PlacementObserver.h>
#include <anvilwalk/placement/Target.h>

#include <array>

namespace anvilwalk {

FlowToken tokenOf(TargetKey key, std::uint64_t startedMs)
{
    const std::array<std::uint64_t, 2> words { key.value(), startedMs };
    const std::uint64_t hash = hashBytes(words.data(), sizeof(words));
    const auto folded = static_cast<std::uint32_t>(hash ^ (hash >> 32U));
    return FlowToken(folded == 0 ? 1 : folded);
}

PlacementObserver& PlacementObserver::none()
{
    static PlacementObserver observer;
    return observer;
}

} // namespace anvilwalk
