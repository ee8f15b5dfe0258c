#include <anvilwalk/version.h>

#include <array>

namespace anvilwalk {

TargetId doubtFallback(
    const ServiceSlots& slots, ServiceId service, SlotIndex slot, const std::function<bool(TargetId)>& isDoubted)
{
    TargetId best;
    std::uint64_t bestRank = 0;
    for (const auto& [id, target] : slots.targets) {
        if (target.leaving || isDoubted(id))
            continue;
        const std::array<std::uint32_t, 3> words { service.value(), slot.value(), id.value() };
        const std::uint64_t rank = hashBytes(words.data(), sizeof(words));
        if (best != TargetId() && std::tie(rank, id) < std::tie(bestRank, best))
            continue;
        best = id;
        bestRank = rank;
    }
    return best;
}

} // namespace anvilwalk
