#pragma once

#include <anvilwalk/version.h>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <set>
#include <utility>

namespace anvilwalk {

using SlotKey = std::pair<ServiceId, SlotIndex>;

// The current table of this balancer and the times at which it first saw the phases of the slots. Versions only
// increase.
class TableHistory {
public:
    // Differences between a table and its predecessor.
    struct Change {
        // Slots that are no longer stable.
        std::set<SlotKey> announced;
        // Slots that have become stable.
        std::set<SlotKey> settled;
        bool weightsChanged = false;
    };

    // Applies a table with a higher version. Returns nullopt if the version is not higher or the table is invalid.
    std::optional<Change> apply(const table::TableSet&, MonotonicTime now, bool acceptLower = false);

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
    void recordPhases(MonotonicTime now);
    static Change compare(const TableSnapshotPointer& before, const TableSnapshot& after);

    TableSnapshotPointer m_current;
    absl::flat_hash_map<SlotKey, PhaseTimes> m_phaseTimes;
};

} // namespace anvilwalk
