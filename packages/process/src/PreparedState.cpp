#include "PreparedState.h"

#include <anvilwalk/version/DoubtFallback.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    const DoubtState* findDoubt(const RoutingState& state, TargetId target)
    {
        const auto found = state.doubts.find(target);
        return found == state.doubts.end() ? nullptr : &found->second;
    }

    TargetId openingCandidate(const SlotException& exception, const PreparedOptions& options)
    {
        const bool toNewest = exception.phase == SlotPhase::Moving || !options.honourAnnouncedPhase;
        return exception.candidates[exception.candidates.size() - (toNewest ? 1 : 2)];
    }

    std::optional<MonotonicTime> announcedAt(const RoutingState& state, ServiceId service, SlotIndex slot)
    {
        const auto found = state.announcedAt.find({ service, slot });
        return found == state.announcedAt.end() ? std::nullopt : std::optional(found->second);
    }

    // A settled owner has all records and only replicates new ones to its backup. An unsettled owner may lack records,
    // so it asks the first settled balancer in the order.
    const RoutingMember* chooseConfirmer(const std::vector<const RoutingMember*>& order, bool consultSettled)
    {
        if (order.size() < 2)
            return nullptr;
        if (order.front()->settled || !consultSettled)
            return order[1];
        const auto settled
            = std::find_if(order.begin() + 1, order.end(), [](const RoutingMember* member) { return member->settled; });
        return settled == order.end() ? order[1] : *settled;
    }

    void assignRoles(PreparedSlot& slot, const BalancerId& self, bool consultSettled)
    {
        // A leaving balancer without other members still serves the packets that reach it.
        slot.selfOwns = slot.order.empty() || slot.order.front()->id == self;
        slot.confirmer = chooseConfirmer(slot.order, consultSettled);
    }

    std::optional<PreparedSlot> prepareSlot(const RoutingState& state, ServiceId service, const ServiceSlots& slots,
        SlotIndex index, const PreparedOptions& options)
    {
        PreparedSlot slot;
        const SlotException* exception = slots.findException(index);
        slot.oldest = exception ? exception->candidates.front() : slots.slots[index.value()];
        slot.opening = exception ? openingCandidate(*exception, options) : slot.oldest;
        slot.announcedAt = announcedAt(state, service, index);
        const DoubtState* doubt = findDoubt(state, slot.opening);
        if (!exception && !doubt)
            return std::nullopt;
        if (doubt && !slot.announcedAt)
            slot.announcedAt = doubt->since;
        if (doubt && doubt->agreed) {
            const TargetId fallback
                = doubtFallback(slots, service, index, [&](TargetId id) { return findDoubt(state, id) != nullptr; });
            if (fallback != TargetId())
                slot.opening = fallback;
        }
        slot.order = rankMembers(state, service, index);
        assignRoles(slot, state.self, options.consultSettled);
        return slot;
    }

    void prepareSlots(
        const RoutingState& state, const ServiceSlots& slots, const PreparedOptions& options, PreparedService& service)
    {
        service.stable.resize(slots.slots.size());
        for (std::size_t i = 0; i < slots.slots.size(); ++i) {
            const SlotIndex index(static_cast<std::uint16_t>(i));
            if (auto slot = prepareSlot(state, service.config->id, slots, index, options))
                service.unstable.emplace(index, std::move(*slot));
            else
                service.stable[i] = slots.findTarget(slots.slots[i]);
        }
    }

    // Share of a limit for one of the live members. Rounded up, because 0 would mean unlimited.
    std::uint32_t share(std::uint32_t limit, std::size_t members)
    {
        const auto divisor = static_cast<std::uint32_t>(std::max<std::size_t>(members, 1));
        return (limit + divisor - 1) / divisor;
    }

    void prepareLimits(const RoutingState& state, const PreparedState* previous, PreparedService& service)
    {
        const ServiceLimits& limits = service.config->limits;
        const std::uint32_t newFlows = share(limits.newFlowsPerSecond, state.members.size());
        service.limits = {
            .newFlowsPerSecond = newFlows, .burst = newFlows, .openFlows = share(limits.openFlows, state.members.size())
        };
        if (previous) {
            for (const PreparedService& old : previous->services) {
                const bool same = old.config->id == service.config->id
                    && old.limits.newFlowsPerSecond == service.limits.newFlowsPerSecond
                    && old.limits.openFlows == service.limits.openFlows;
                if (same) {
                    service.limiter = old.limiter;
                    return;
                }
            }
        }
        service.limiter = std::make_shared<AdmissionLimiter>(service.limits);
    }

    bool isSelfSettled(const RoutingState& state)
    {
        if (state.selfLeaving)
            return true;
        return std::any_of(state.members.begin(), state.members.end(),
            [&](const RoutingMember& member) { return member.id == state.self && member.settled; });
    }

} // namespace

PreparedSlot PreparedSlot::withoutOwner(const PreparedState& state, bool consultSettled) const
{
    PreparedSlot slot = *this;
    slot.order.erase(slot.order.begin());
    assignRoles(slot, state.source->self, consultSettled);
    return slot;
}

const PreparedService* PreparedState::findService(const ServiceAddress& address) const
{
    const auto found = byAddress.find(address);
    return found == byAddress.end() ? nullptr : &services[found->second];
}

const RoutingMember* PreparedState::findMember(const BalancerId& id) const
{
    for (const RoutingMember& member : source->members) {
        if (member.id == id)
            return &member;
    }
    return nullptr;
}

std::shared_ptr<const PreparedState> PreparedState::make(
    RoutingStatePointer source, const PreparedState* previous, RouterCounters& counters, const PreparedOptions& options)
{
    auto state = std::make_shared<PreparedState>();
    state->selfSettled = isSelfSettled(*source);
    if (source->table)
        state->tableVersion = source->table->version();
    if (source->config) {
        for (const ServiceConfig& config : source->config->services()) {
            PreparedService service;
            service.config = &config;
            service.slots = source->table ? source->table->findService(config.id) : nullptr;
            service.counters = counters.forService(config.id);
            prepareLimits(*source, previous, service);
            if (service.slots)
                prepareSlots(*source, *service.slots, options, service);
            for (const ServiceAddress& address : config.addresses)
                state->byAddress.emplace(address, state->services.size());
            state->services.push_back(std::move(service));
        }
    }
    state->source = std::move(source);
    return state;
}

} // namespace anvilwalk
