#pragma once

#include <anvilwalk/process/Membership.h>
#include <anvilwalk/process/TableHistory.h>
#include <anvilwalk/process/TargetMonitor.h>

#include <functional>
#include <set>

namespace anvilwalk {

// The doubts that balancers apply to their packets while no new table can be written. The applied set only grows
// until a table replaces its members, and a doubt takes effect when every live balancer has echoed the whole set.
class DoubtAgreement {
public:
    explicit DoubtAgreement(const CellTestSwitches&);

    // Takes part in what the peers doubt and apply. The store is down if no live balancer reaches it.
    // Returns true if the applied set grew.
    bool update(
        const TargetMonitor&, const Membership&, const TableSnapshotPointer&, bool storeDown, MonotonicTime now);
    // Recent openings of the applied set are handed in, so that its digest may be echoed.
    void confirm(std::uint64_t digest);
    // Returns true if further doubts took effect.
    bool agree(const Membership&, const TableSnapshotPointer&);
    // Drops the doubts whose slots the table has given to other targets.
    void handleTable(const TableSnapshot&);

    // Digest of the applied set; 0 if it is empty.
    std::uint64_t digest() const;
    // Digest that this balancer echoes.
    std::uint64_t echoedDigest() const { return m_applied.empty() ? 0 : m_confirmedDigest; }
    const std::map<TargetId, MonotonicTime>& applied() const { return m_applied; }
    bool inEffect(TargetId id) const { return m_inEffect.contains(id); }
    const std::set<TargetId>& allInEffect() const { return m_inEffect; }
    // Slots whose newest candidate is an applied doubt.
    std::set<SlotKey> slots(const TableSnapshot&) const;

private:
    void add(TargetId, const TableSnapshot&, MonotonicTime now);
    void addDoubts(const TargetMonitor&, const Membership&, const TableSnapshot&, MonotonicTime now);
    void shrink(const std::function<bool(TargetId)>& isOver);
    // At most half of the targets of a service are taken out.
    bool withinLimit(TargetId, const TableSnapshot&, const std::set<TargetId>& alsoBad = {}) const;

    CellTestSwitches m_switches;
    std::map<TargetId, MonotonicTime> m_applied;
    std::set<TargetId> m_inEffect;
    std::uint64_t m_confirmedDigest = 0;
};

} // namespace anvilwalk
