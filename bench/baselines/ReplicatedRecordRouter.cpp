#include "ReplicatedRecordRouter.h"

namespace anvilwalk::baselines {

ReplicatedRecordRouter::ReplicatedRecordRouter(std::shared_ptr<FlowTable> flows)
    : m_flows(std::move(flows))
{
}

Decision ReplicatedRecordRouter::route(const PacketView& packet, MonotonicTime now)
{
    const auto current = spread();
    const std::uint64_t hash = packet.key().hash();
    const Choice choice = choose(*current, packet.key(), hash);
    if (!choice.target)
        return DropPacket { .reason = DropReason::NoTarget };
    const auto known = m_flows->touch(packet.key(), hash, packet.kind(), now);
    if (known) {
        if (const TableTarget* target = choice.slots->findTarget(known->target))
            return ForwardToTarget { .target = target->id, .tunnel = target->tunnel, .service = choice.service };
    }
    const FlowRecord record {
        .target = choice.target->id, .service = choice.service, .slot = slotOf(hash), .kind = FlowRecordKind::Confirmed
    };
    m_flows->assign(packet.key(), hash, record, now);
    {
        const std::lock_guard lock(m_newRecordsMutex);
        m_newRecords.push_back({ packet.key(), record });
    }
    return ForwardToTarget { .target = choice.target->id, .tunnel = choice.target->tunnel, .service = choice.service };
}

std::vector<FlowEntry> ReplicatedRecordRouter::takeNewRecords()
{
    const std::lock_guard lock(m_newRecordsMutex);
    return std::exchange(m_newRecords, {});
}

void ReplicatedRecordRouter::store(const std::vector<FlowEntry>& entries, MonotonicTime now)
{
    for (const FlowEntry& entry : entries)
        m_flows->insert(entry.key, entry.key.hash(), entry.record, now);
}

} // namespace anvilwalk::baselines
