#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    bool hasSlots(const ServiceSlots& slots, TargetId target)
    {
        return std::find(slots.slots.begin(), slots.slots.end(), target) != slots.slots.end();
    }

} // namespace

DoubtAgreement::DoubtAgreement(const ControlTestSwitches& switches)
    : m_switches(switches)
{
}

bool DoubtAgreement::update(const TargetMonitor& monitor, const Membership& membership,
    const TableSnapshotPointer& table, bool storeDown, MonotonicTime now)
{
    if (!table)
        return false;
    const std::map<TargetId, MonotonicTime> before = m_applied;
    for (const auto& [id, member] : membership.members()) {
        for (const TargetId target : member.appliedDoubts)
            add(target, *table, now);
    }
    if (storeDown) {
        addDoubts(monitor, membership, *table, now);
    } else {
        // A doubt that never took effect has moved no flow, so it may end without a new table.
        shrink([&](TargetId target) { return !inEffect(target) && !withinLimit(target, *table); });
    }
    return std::any_of(
        m_applied.begin(), m_applied.end(), [&](const auto& entry) { return !before.contains(entry.first); });
}

// Adds the doubts of this balancer and its peers, unless more than half of a service's targets look bad to this
// balancer.
void DoubtAgreement::addDoubts(
    const TargetMonitor& monitor, const Membership& membership, const TableSnapshot& table, MonotonicTime now)
{
    std::set<TargetId> doubts = monitor.doubted();
    for (const auto& [id, member] : membership.members())
        doubts.insert(member.doubtedTargets.begin(), member.doubtedTargets.end());
    std::set<TargetId> bad = monitor.suspected();
    bad.insert(doubts.begin(), doubts.end());
    for (const TargetId target : doubts) {
        if (withinLimit(target, table, bad))
            add(target, table, now);
    }
}

// Removes applied doubts. If the openings of the whole set have been pushed, so have those of the remaining set.
void DoubtAgreement::shrink(const std::function<bool(TargetId)>& isOver)
{
    const bool confirmed = m_confirmedDigest == digest();
    std::erase_if(m_applied, [&](const auto& entry) { return isOver(entry.first); });
    std::erase_if(m_inEffect, [&](TargetId id) { return !m_applied.contains(id); });
    if (confirmed)
        m_confirmedDigest = digest();
}

void DoubtAgreement::add(TargetId target, const TableSnapshot& table, MonotonicTime now)
{
    if (m_applied.contains(target))
        return;
    const bool hasTarget = std::any_of(table.services().begin(), table.services().end(),
        [&](const auto& service) { return hasSlots(service.second, target); });
    if (hasTarget)
        m_applied.emplace(target, now);
}

void DoubtAgreement::confirm(std::uint64_t pushedDigest)
{
    if (pushedDigest == digest())
        m_confirmedDigest = pushedDigest;
}

bool DoubtAgreement::activate(const Membership& membership, const TableSnapshotPointer& table)
{
    if (m_applied.empty() || !table)
        return false;
    const bool acked = m_confirmedDigest == digest() && membership.allAckedDoubts(digest());
    if (!acked && !m_switches.doubtWithoutAck)
        return false;
    const std::size_t before = m_inEffect.size();
    for (const auto& [target, since] : m_applied) {
        if (withinLimit(target, *table))
            m_inEffect.insert(target);
    }
    return m_inEffect.size() > before;
}

bool DoubtAgreement::withinLimit(TargetId target, const TableSnapshot& table, const std::set<TargetId>& alsoBad) const
{
    for (const auto& [service, slots] : table.services()) {
        if (!slots.findTarget(target))
            continue;
        std::size_t staying = 0;
        std::size_t doubted = 0;
        for (const auto& [id, entry] : slots.targets) {
            if (entry.leaving)
                continue;
            ++staying;
            if (m_applied.contains(id) || alsoBad.contains(id))
                ++doubted;
        }
        return doubted * 2 <= staying || m_switches.removeAnyNumber;
    }
    return false;
}

void DoubtAgreement::handleTable(const TableSnapshot& table)
{
    shrink([&](TargetId target) {
        return std::none_of(table.services().begin(), table.services().end(),
            [&](const auto& service) { return hasSlots(service.second, target); });
    });
}

std::uint64_t DoubtAgreement::digest() const
{
    if (m_applied.empty())
        return 0;
    std::vector<std::uint32_t> ids;
    for (const auto& [id, since] : m_applied)
        ids.push_back(id.value());
    return hashBytes(ids.data(), ids.size() * sizeof(std::uint32_t));
}

std::set<SlotKey> DoubtAgreement::slots(const TableSnapshot& table) const
{
    std::set<SlotKey> result;
    if (m_applied.empty())
        return result;
    for (const auto& [service, slots] : table.services()) {
        for (std::size_t index = 0; index < slots.slots.size(); ++index) {
            if (m_applied.contains(slots.slots[index]))
                result.insert({ service, SlotIndex(static_cast<std::uint16_t>(index)) });
        }
    }
    return result;
}

} // namespace anvilwalk
