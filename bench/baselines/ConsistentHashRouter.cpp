#include "ConsistentHashRouter.h"

#include <algorithm>

namespace anvilwalk::baselines {

namespace {

    struct Permutation {
        const TableTarget* target = nullptr;
        std::uint64_t offset = 0;
        std::uint64_t skip = 1;
        std::uint64_t next = 0;
        std::uint32_t credit = 0;

        std::size_t advance() { return (offset + skip * next++) % slotsPerService; }
    };

    std::vector<Permutation> permutationsOf(const ServiceSlots& slots)
    {
        std::vector<Permutation> permutations;
        for (const auto& [id, target] : slots.targets) {
            if (target.leaving || target.weight == 0)
                continue;
            const std::uint64_t hash = hashText(target.host);
            permutations.push_back({ .target = &target,
                .offset = hash % slotsPerService,
                .skip = (hash >> 32) % (slotsPerService - 1) + 1 });
        }
        std::sort(permutations.begin(), permutations.end(),
            [](const Permutation& a, const Permutation& b) { return a.target->id < b.target->id; });
        return permutations;
    }

} // namespace

std::vector<const TableTarget*> spreadByPermutation(const ServiceSlots& slots)
{
    std::vector<const TableTarget*> result(slotsPerService, nullptr);
    std::vector<Permutation> permutations = permutationsOf(slots);
    if (permutations.empty())
        return result;
    std::uint32_t maxWeight = 0;
    for (const Permutation& permutation : permutations)
        maxWeight = std::max(maxWeight, permutation.target->weight);
    for (std::size_t filled = 0; filled < result.size();) {
        for (Permutation& permutation : permutations) {
            permutation.credit += permutation.target->weight;
            if (permutation.credit < maxWeight || filled == result.size())
                continue;
            permutation.credit -= maxWeight;
            std::size_t slot = permutation.advance();
            while (result[slot] != nullptr)
                slot = permutation.advance();
            result[slot] = permutation.target;
            ++filled;
        }
    }
    return result;
}

void ConsistentHashRouter::setState(RoutingStatePointer state)
{
    auto spread = std::make_shared<Spread>();
    if (state && state->table) {
        for (const auto& [id, slots] : state->table->services())
            spread->targets.emplace(id, spreadByPermutation(slots));
    }
    spread->state = std::move(state);
    const std::lock_guard lock(m_mutex);
    m_spread = std::move(spread);
}

std::shared_ptr<const ConsistentHashRouter::Spread> ConsistentHashRouter::spread() const
{
    const std::lock_guard lock(m_mutex);
    return m_spread;
}

ConsistentHashRouter::Choice ConsistentHashRouter::choose(const Spread& spread, const FlowKey& key, std::uint64_t hash)
{
    const ServiceConfig* config = spread.state->config->findByAddress(key.serviceAddress());
    if (!config)
        return {};
    const auto targets = spread.targets.find(config->id);
    if (targets == spread.targets.end())
        return {};
    return { .service = config->id,
        .slots = spread.state->table->findService(config->id),
        .target = targets->second[slotOf(hash).value()] };
}

Decision ConsistentHashRouter::route(const PacketView& packet, MonotonicTime)
{
    const auto current = spread();
    const Choice choice = choose(*current, packet.key(), packet.key().hash());
    if (!choice.target)
        return DropPacket { .reason = DropReason::NoTarget };
    return ForwardToTarget { .target = choice.target->id, .tunnel = choice.target->tunnel, .service = choice.service };
}

Decision ConsistentHashRouter::routeRelayed(const RelayHeader&, const PacketView&, MonotonicTime)
{
    return DropPacket { .reason = DropReason::BadRelayHeader };
}

} // namespace anvilwalk::baselines
