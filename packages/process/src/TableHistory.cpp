#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

std::optional<TableHistory::Change> TableHistory::apply(
    const table::TableSet& message, MonotonicTime now, bool acceptLower)
{
    if (TableVersion(message.version()) <= version() && !acceptLower)
        return std::nullopt;
    auto snapshot = TableSnapshot::fromMessage(message);
    if (!isOk(snapshot))
        return std::nullopt;
    const TableSnapshotPointer before = std::exchange(m_current, valueOf(snapshot));
    recordPhases(now);
    return compare(before, *m_current);
}

void TableHistory::recordPhases(MonotonicTime now)
{
    absl::flat_hash_map<SlotKey, PhaseTimes> times;
    for (const auto& [service, slots] : m_current->services()) {
        for (const auto& [slot, exception] : slots.exceptions) {
            const SlotKey key { service, slot };
            const auto found = m_phaseTimes.find(key);
            PhaseTimes entry { .announcedIn = exception.announcedIn, .announcedAt = now, .movingAt = std::nullopt };
            if (found != m_phaseTimes.end() && found->second.announcedIn == exception.announcedIn)
                entry = found->second;
            if (exception.phase == SlotPhase::Moving && !entry.movingAt)
                entry.movingAt = now;
            times.emplace(key, entry);
        }
    }
    m_phaseTimes = std::move(times);
}

TableHistory::Change TableHistory::compare(const TableSnapshotPointer& before, const TableSnapshot& after)
{
    Change change;
    if (!before)
        return change;
    for (const auto& [service, slots] : after.services()) {
        const ServiceSlots* old = before->findService(service);
        if (!old)
            continue;
        for (const auto& [slot, exception] : slots.exceptions) {
            if (!old->findException(slot))
                change.announced.insert({ service, slot });
        }
        for (const auto& [slot, exception] : old->exceptions) {
            if (!slots.findException(slot))
                change.settled.insert({ service, slot });
        }
        for (const auto& [id, target] : slots.targets) {
            const TableTarget* oldTarget = old->findTarget(id);
            if (!oldTarget || oldTarget->weight != target.weight)
                change.weightsChanged = true;
        }
    }
    return change;
}

Duration TableHistory::sinceAnnounced(const SlotKey& key, MonotonicTime now) const
{
    const auto found = m_phaseTimes.find(key);
    return found == m_phaseTimes.end() ? Duration() : now - found->second.announcedAt;
}

Duration TableHistory::sinceMoving(const SlotKey& key, MonotonicTime now) const
{
    const auto found = m_phaseTimes.find(key);
    if (found == m_phaseTimes.end() || !found->second.movingAt)
        return Duration();
    return now - *found->second.movingAt;
}

absl::flat_hash_map<SlotKey, MonotonicTime> TableHistory::announcedAt() const
{
    absl::flat_hash_map<SlotKey, MonotonicTime> result;
    for (const auto& [key, times] : m_phaseTimes)
        result.emplace(key, times.announcedAt);
    return result;
}

} // namespace anvilwalk
