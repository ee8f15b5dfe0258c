#include <anvilwalk/placement/PlacementObserver.h>
#include <anvilwalk/placement/Target.h>

namespace anvilwalk {

FlowToken tokenOf(TargetKey key)
{
    const std::uint64_t word = key.value();
    const std::uint64_t hash = hashBytes(&word, sizeof(word));
    const auto folded = static_cast<std::uint32_t>(hash ^ (hash >> 32U));
    return FlowToken(folded == 0 ? 1 : folded);
}

PlacementObserver& PlacementObserver::none()
{
    static PlacementObserver observer;
    return observer;
}

} // namespace anvilwalk
