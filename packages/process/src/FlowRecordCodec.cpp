#include <anvilwalk/process/FlowRecordCodec.h>
#include <anvilwalk/version.h>

#include <limits>
#include <optional>

namespace anvilwalk {

namespace {

    std::uint32_t ageMs(MonotonicTime now, std::uint32_t thenMs)
    {
        const auto age = static_cast<std::int32_t>(FlowTable::toMilliseconds(now) - thenMs);
        return age > 0 ? static_cast<std::uint32_t>(age) : 0;
    }

    std::optional<FlowKey> readKey(const peer::FlowRecordEntry& entry)
    {
        constexpr std::uint32_t maxPort = std::numeric_limits<std::uint16_t>::max();
        if (entry.source_port() > maxPort || entry.destination_port() > maxPort)
            return std::nullopt;
        if (entry.protocol() != static_cast<std::uint32_t>(Protocol::Tcp)
            && entry.protocol() != static_cast<std::uint32_t>(Protocol::Udp))
            return std::nullopt;
        return FlowKey {
            .source = { entry.source_address() },
            .destination = { entry.destination_address() },
            .sourcePort = static_cast<std::uint16_t>(entry.source_port()),
            .destinationPort = static_cast<std::uint16_t>(entry.destination_port()),
            .protocol = static_cast<Protocol>(entry.protocol()),
        };
    }

} // namespace

std::vector<peer::FlowRecordEntry> FlowRecordCodec::recentOpenings(
    const FlowTable& table, const SlotPredicate& affected, MonotonicTime now, std::chrono::milliseconds window)
{
    std::vector<peer::FlowRecordEntry> entries;
    table.visit([&](const FlowEntry& entry) {
        if (ageMs(now, entry.record.openedMs) <= window.count() && affected(entry.record.service, entry.record.slot))
            entries.push_back(toEntry(entry, now));
    });
    return entries;
}

std::vector<peer::FlowRecordEntry> FlowRecordCodec::confirmedRecords(
    const FlowTable& table, const SlotPredicate& affected, MonotonicTime now)
{
    std::vector<peer::FlowRecordEntry> entries;
    table.visit([&](const FlowEntry& entry) {
        if (entry.record.kind == FlowRecordKind::Confirmed && affected(entry.record.service, entry.record.slot))
            entries.push_back(toEntry(entry, now));
    });
    return entries;
}

peer::FlowRecordEntry FlowRecordCodec::toEntry(const FlowEntry& flow, MonotonicTime now)
{
    peer::FlowRecordEntry entry;
    entry.set_source_address(flow.key.source.value);
    entry.set_destination_address(flow.key.destination.value);
    entry.set_source_port(flow.key.sourcePort);
    entry.set_destination_port(flow.key.destinationPort);
    entry.set_protocol(static_cast<std::uint32_t>(flow.key.protocol));
    entry.set_service(flow.record.service.value());
    entry.set_slot(flow.record.slot.value());
    entry.set_target(flow.record.target.value());
    entry.set_closed(flow.record.closed);
    entry.set_idle_ms(ageMs(now, flow.record.lastSeenMs));
    return entry;
}

std::optional<FlowEntry> FlowRecordCodec::fromEntry(const peer::FlowRecordEntry& entry, MonotonicTime now)
{
    const auto key = readKey(entry);
    if (!key || entry.target() == 0 || entry.service() == 0 || slotOf(key->hash()).value() != entry.slot())
        return std::nullopt;
    const FlowRecord record {
        .target = TargetId(entry.target()),
        .service = ServiceId(entry.service()),
        .slot = slotOf(key->hash()),
        .kind = FlowRecordKind::Confirmed,
        .closed = entry.closed(),
        .openedMs = FlowTable::toMilliseconds(now) - entry.idle_ms(),
    };
    return FlowEntry { .key = *key, .record = record };
}

MonotonicTime FlowRecordCodec::lastPacket(const peer::FlowRecordEntry& entry, MonotonicTime now)
{
    return now - std::chrono::milliseconds(entry.idle_ms());
}

void FlowRecordCodec::storeOne(
    FlowTable& table, const peer::FlowRecordEntry& entry, MonotonicTime now, StoreOutcome& outcome)
{
    const auto flow = fromEntry(entry, now);
    if (!flow) {
        ++outcome.invalid;
        return;
    }
    const InsertResult result = table.insert(flow->key, flow->key.hash(), flow->record, lastPacket(entry, now));
    if (result.kind == InsertResult::Kind::Full)
        ++outcome.refused;
    else
        ++outcome.stored;
}

} // namespace anvilwalk
