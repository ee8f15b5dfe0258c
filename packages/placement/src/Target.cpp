#include <anvilwalk/placement/PlacementObserver.h>
#include <anvilwalk/placement/Target.h>
#include <anvilwalk/placement/TargetCatalogue.h>

#include <cmath>

namespace anvilwalk {

FlowToken tokenOf(TargetKey key)
{
    const std::uint64_t word = key.value();
    const std::uint64_t hash = hashBytes(&word, sizeof(word));
    const auto folded = static_cast<std::uint32_t>(hash ^ (hash >> 32U));
    return FlowToken(folded == 0 ? 1 : folded);
}

double TargetActivity::openingsPerSecond(MonotonicTime now) const
{
    if (recentOpenings <= 0)
        return 0;
    const double elapsed = std::chrono::duration<double>(now - lastOpening) / openingsTime;
    return recentOpenings * std::exp(-elapsed) / std::chrono::duration<double>(openingsTime).count();
}

void TargetActivity::addOpening(MonotonicTime now)
{
    recentOpenings = openingsPerSecond(now) * std::chrono::duration<double>(openingsTime).count() + 1;
    lastOpening = now;
}

PlacementObserver& PlacementObserver::none()
{
    static PlacementObserver observer;
    return observer;
}

} // namespace anvilwalk
