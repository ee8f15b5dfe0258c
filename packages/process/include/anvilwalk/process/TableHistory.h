#pragma once

#include <anvilwalk/version.h>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <set>
#include <utility>

namespace anvilwalk {

using SlotKey = std::pair<ServiceId, SlotIndex>;

// The table in force at this balancer and when it first saw the phases of its slots. Versions only increase.
class TableHistory {
public:
    // What a newer table changed.
    struct Change {
        // Slots that were stable before and are not now.
        std::set<SlotKey> announced;
        // Slots that were not stable before and are now.
        std::set<SlotKey> settled;
        bool weightsChanged = false;
    };

    // Applies a table with a higher version; nothing otherwise, or if the table is not valid.
    std::optional<Change> offer(const table::TableSet&, MonotonicTime now, bool acceptLower = false);

    const TableSnapshotPointer& current() const { return m_current; }
    TableVersion version() const { return m_current ? m_current->version() : TableVersion(); }
    Duration sinceAnnounced(const SlotKey&, MonotonicTime now) const;
    Duration sinceMoving(const SlotKey&, MonotonicTime now) const;
    absl::flat_hash_map<SlotKey, MonotonicTime> announcedAt() const;

private:
    struct PhaseTimes {
        TableVersion announcedIn;
        MonotonicTime announcedAt;
        std::optional<MonotonicTime> movingAt;
    };
    void notePhases(MonotonicTime now);
    static Change compare(const TableSnapshotPointer& before, const TableSnapshot& after);

    TableSnapshotPointer m_current;
    absl::flat_hash_map<SlotKey, PhaseTimes> m_phaseTimes;
};

} // namespace anvilwalk
