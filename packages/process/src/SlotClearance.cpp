#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    constexpr auto countInterval = 2000ms;
    // Claims are repeated in rotation; an older one may no longer be true.
    constexpr auto claimLifetime = 30s;
    // At about 2 bytes per claim this is about 100 bytes/s to the table writer.
    constexpr std::size_t claimsPerHeartbeat = 32;
    // Greater than the number of slots of a service, so that service and slot can be combined into one number.
    constexpr std::uint64_t slotFactor = 1024;

} // namespace

SlotClearance::SlotClearance(BalancerId self, std::shared_ptr<FlowTable> flows)
    : m_self(std::move(self))
    , m_flows(std::move(flows))
{
}

void SlotClearance::invalidate()
{
    m_ownClaims.clear();
    m_nextCount = MonotonicTime();
}

std::set<SlotKey> SlotClearance::dueSlots(
    const RoutingState& state, const TableHistory& history, MonotonicTime now) const
{
    std::set<SlotKey> due;
    if (!state.table || !state.config)
        return due;
    for (const auto& [service, slots] : state.table->services()) {
        const ServiceConfig* config = state.config->findById(service);
        if (!config)
            continue;
        for (const auto& [slot, exception] : slots.exceptions) {
            if (exception.phase != SlotPhase::Moving
                || history.sinceMoving({ service, slot }, now) <= config->idleDeadline)
                continue;
            const auto order = rankMembers(state, service, slot);
            for (std::size_t i = 0; i < std::min<std::size_t>(order.size(), 2); ++i) {
                if (order[i]->id == m_self)
                    due.insert({ service, slot });
            }
        }
    }
    return due;
}

void SlotClearance::tick(const RoutingState& state, const TableHistory& history, bool settled, MonotonicTime now)
{
    if (now < m_nextCount || !settled)
        return;
    m_nextCount = now + countInterval;
    m_ownClaims = dueSlots(state, history, now);
    if (m_ownClaims.empty())
        return;
    m_flows->visit([&](const FlowEntry& flow) {
        if (flow.record.kind != FlowRecordKind::Confirmed)
            return;
        const SlotKey key { flow.record.service, flow.record.slot };
        const auto found = m_ownClaims.find(key);
        if (found == m_ownClaims.end())
            return;
        const ServiceSlots* slots = state.table->findService(key.first);
        if (slots && slots->slots[key.second.value()] != flow.record.target)
            m_ownClaims.erase(found);
    });
    for (const SlotKey& key : m_ownClaims)
        m_claims[key][m_self] = { .tableVersion = state.table->version(), .claimedAt = now };
}

std::vector<std::uint64_t> SlotClearance::nextClaims()
{
    std::vector<std::uint64_t> claims;
    auto next = m_ownClaims.upper_bound(m_lastSent);
    if (next == m_ownClaims.end())
        next = m_ownClaims.begin();
    std::uint64_t previous = 0;
    for (; next != m_ownClaims.end() && claims.size() < claimsPerHeartbeat; ++next) {
        const std::uint64_t number = next->first.value() * slotFactor + next->second.value();
        claims.push_back(number - previous);
        previous = number;
        m_lastSent = *next;
    }
    return claims;
}

void SlotClearance::handleClaims(
    const BalancerId& peer, TableVersion tableVersion, const std::vector<std::uint64_t>& claims, MonotonicTime now)
{
    std::uint64_t number = 0;
    for (const std::uint64_t difference : claims) {
        number += difference;
        const SlotKey key { ServiceId(static_cast<std::uint32_t>(number / slotFactor)),
            SlotIndex(static_cast<std::uint16_t>(number % slotFactor)) };
        m_claims[key][peer] = { .tableVersion = tableVersion, .claimedAt = now };
    }
}

bool SlotClearance::isClear(const RoutingState& state, const SlotKey& key, MonotonicTime now) const
{
    const ServiceSlots* slots = state.table ? state.table->findService(key.first) : nullptr;
    const SlotException* exception = slots ? slots->findException(key.second) : nullptr;
    const auto claims = m_claims.find(key);
    if (!exception || claims == m_claims.end())
        return false;
    const auto order = rankMembers(state, key.first, key.second);
    for (std::size_t i = 0; i < std::min<std::size_t>(order.size(), 2); ++i) {
        const auto claim = claims->second.find(order[i]->id);
        if (claim == claims->second.end() || !order[i]->settled)
            return false;
        if (claim->second.tableVersion < exception->announcedIn || now - claim->second.claimedAt > claimLifetime)
            return false;
    }
    return !order.empty();
}

} // namespace anvilwalk
