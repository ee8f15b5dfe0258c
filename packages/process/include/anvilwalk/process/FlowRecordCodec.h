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
        // Records that the table now holds, those it had before included.
        std::uint32_t stored = 0;
        // Records that found the table full.
        std::uint32_t refused = 0;
        // Entries whose fields do not fit together; they are skipped.
        std::uint32_t invalid = 0;
    };

    static peer::FlowRecordEntry toEntry(const FlowEntry&, MonotonicTime now);
    // The confirmed record of an entry from a peer; nothing if its fields do not fit together.
    static std::optional<FlowEntry> fromEntry(const peer::FlowRecordEntry&, MonotonicTime now);
    // Time of the last packet of the flow on the clock of this balancer.
    static MonotonicTime lastPacket(const peer::FlowRecordEntry&, MonotonicTime now);

    // Flows of the given slots that opened within the window. Owner and backup get them before this balancer
    // echoes the version that announces the slots.
    static std::vector<peer::FlowRecordEntry> recentOpenings(const FlowTable&, const SlotPredicate&, MonotonicTime now,
        std::chrono::milliseconds window = std::chrono::milliseconds(7000));

    // Confirmed records of the given slots, closed ones included.
    static std::vector<peer::FlowRecordEntry> confirmedRecords(
        const FlowTable&, const SlotPredicate&, MonotonicTime now);

    // Stores entries from a peer as confirmed records. A confirmed record that is already there is kept.
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
