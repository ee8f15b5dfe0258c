#pragma once

#include <anvilwalk/connection.h>

#include <chrono>
#include <functional>
#include <optional>
#include <peer.pb.h>
#include <vector>

namespace anvilwalk {

// Converts flow records to and from the entries that balancers send each other.
class FlowRecordCodec {
public:
    using SlotPredicate = std::function<bool(ServiceId, SlotIndex)>;

    struct StoreOutcome {
        // Records that the table now holds, including those it held before.
        std::uint32_t stored = 0;
        // Records for which the table had no room.
        std::uint32_t refused = 0;
        // Entries with invalid or inconsistent fields, which are skipped.
        std::uint32_t invalid = 0;
    };

    static peer::FlowRecordEntry toEntry(const FlowEntry&, MonotonicTime now);
    // The confirmed record of an entry from a peer, or nullopt if its fields are invalid or inconsistent.
    static std::optional<FlowEntry> fromEntry(const peer::FlowRecordEntry&, MonotonicTime now);
    // Time of the flow's last packet by this balancer's clock.
    static MonotonicTime lastPacket(const peer::FlowRecordEntry&, MonotonicTime now);

    // Flows of the given slots that were opened within the window. Owner and backup receive them before this balancer
    // echoes the table version that announces the slots.
    static std::vector<peer::FlowRecordEntry> recentOpenings(const FlowTable&, const SlotPredicate&, MonotonicTime now,
        std::chrono::milliseconds window = std::chrono::milliseconds(7000));

    // Confirmed records of the given slots, closed ones included.
    static std::vector<peer::FlowRecordEntry> confirmedRecords(
        const FlowTable&, const SlotPredicate&, MonotonicTime now);

    // Stores entries from a peer as confirmed records. Existing confirmed records are kept unchanged.
    template <class Entries> static StoreOutcome store(FlowTable& table, const Entries& entries, MonotonicTime now)
    {
        StoreOutcome outcome;
        for (const peer::FlowRecordEntry& entry : entries)
            storeOne(table, entry, now, outcome);
        return outcome;
    }

private:
    static void storeOne(FlowTable&, const peer::FlowRecordEntry&, MonotonicTime now, StoreOutcome&);
};

} // namespace anvilwalk
