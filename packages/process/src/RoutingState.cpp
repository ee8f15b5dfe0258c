#include <anvilwalk/process.h>

#include <algorithm>
#include <array>

namespace anvilwalk {

std::vector<const RoutingMember*> rankMembers(const RoutingState& state, ServiceId service, SlotIndex slot)
{
    std::vector<std::pair<std::uint64_t, const RoutingMember*>> ranked;
    ranked.reserve(state.members.size());
    for (const RoutingMember& member : state.members) {
        const std::array<std::uint64_t, 2> words { member.key,
            (static_cast<std::uint64_t>(service.value()) << 16) | slot.value() };
        ranked.emplace_back(hashBytes(words.data(), sizeof(words)), &member);
    }
    std::sort(ranked.begin(), ranked.end(),
        [](const auto& a, const auto& b) { return std::tie(a.first, a.second->id) > std::tie(b.first, b.second->id); });
    std::vector<const RoutingMember*> order;
    order.reserve(ranked.size());
    for (const auto& [weight, member] : ranked)
        order.push_back(member);
    return order;
}

} // namespace anvilwalk
