#pragma once

#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <string>
#include <table.pb.h>
#include <vector>

namespace anvilwalk {

// Number of slots of each service in a data centre. A prime, so that target counts do not resonate with it.
inline constexpr std::uint16_t slotsPerService = 1021;
// Candidates a slot may have at once; a further change waits.
inline constexpr std::size_t maxSlotCandidates = 8;

enum class SlotPhase {
    // One target; forwarded without state.
    Stable,
    // A change is coming; opening packets still go to the last candidate but one.
    Announced,
    // Opening packets go to the last candidate.
    Moving,
};

// A target as the table of its data centre knows it.
struct TableTarget {
    TargetId id;
    std::string host;
    Ipv4Endpoint tunnel;
    std::string healthUrl;
    bool leaving = false;
    // Share of slots in thousandths of a full target.
    std::uint32_t weight = 1000;
};

// A slot that is not stable.
struct SlotException {
    SlotPhase phase = SlotPhase::Announced;
    // Oldest first. A moving slot that is about to become stable has one, any other at least two.
    std::vector<TargetId> candidates;
    TableVersion announcedIn;
};

// The slots and targets of one service.
struct ServiceSlots {
    // Target of each slot; for a slot with an exception, the newest candidate.
    std::vector<TargetId> slots;
    absl::flat_hash_map<SlotIndex, SlotException> exceptions;
    absl::flat_hash_map<TargetId, TableTarget> targets;

    const SlotException* findException(SlotIndex) const;
    const TableTarget* findTarget(TargetId) const;
};

// All slot tables of a data centre in one version. Immutable; shared between threads by pointer.
class TableSnapshot {
public:
    // Checks sizes, target references and addresses. A set that fails a check is refused as a whole.
    static Result<std::shared_ptr<const TableSnapshot>> fromMessage(const table::TableSet&);

    TableVersion version() const { return m_version; }
    const ServiceSlots* findService(ServiceId) const;
    const absl::flat_hash_map<ServiceId, ServiceSlots>& services() const { return m_services; }
    // The message this snapshot was made from.
    const table::TableSet& message() const { return m_message; }

private:
    TableSnapshot() = default;

    TableVersion m_version;
    absl::flat_hash_map<ServiceId, ServiceSlots> m_services;
    table::TableSet m_message;
};

using TableSnapshotPointer = std::shared_ptr<const TableSnapshot>;

// Slot of a flow, from FlowKey::hash().
inline SlotIndex slotOf(std::uint64_t flowHash)
{
    return SlotIndex(static_cast<std::uint16_t>(flowHash % slotsPerService));
}

} // namespace anvilwalk
