#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <cstdint>

namespace anvilwalk {

enum class FlowRecordKind : std::uint8_t {
    // Seen while the slot was stable. Used for counts and recent openings, never to choose a target.
    Observed,
    // Target of the flow as confirmed by the backup of its slot.
    Confirmed,
};

// State that a balancer keeps for one flow.
struct FlowRecord {
    TargetId target;
    ServiceId service;
    SlotIndex slot;
    FlowRecordKind kind = FlowRecordKind::Observed;
    // The client sent FIN or RST. The record is kept for FlowTableOptions::closedLinger so that a late packet
    // is not taken for part of a new flow.
    bool closed = false;
    // Time as returned by FlowTable::toMilliseconds. For an observed flow, the time of its last opening packet;
    // for a confirmed one, of the last confirmation.
    std::uint32_t openedMs = 0;
    std::uint32_t lastSeenMs = 0;
};

static_assert(sizeof(FlowRecord) <= 20, "a flow's key and record must stay within 64 bytes in the table");

} // namespace anvilwalk
