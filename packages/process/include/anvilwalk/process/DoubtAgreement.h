#pragma once

#include <anvilwalk/process/Membership.h>
#include <anvilwalk/process/TableHistory.h>
#include <anvilwalk/process/TargetMonitor.h>

#include <functional>
#include <set>

namespace anvilwalk {

// Agrees with the peers on the targets in doubt that get no new flows while no new table can be written. The applied
// set only grows until a table replaces its members. A doubt takes effect when every live balancer has acknowledged
// the whole set.
class DoubtAgreement {
public:
    explicit DoubtAgreement(const ControlTestSwitches&);

    // Merges the doubts of this balancer and its peers. The store is down if no live balancer reaches it.
    // Returns true if the applied set grew.
    bool update(
        const TargetMonitor&, const Membership&, const TableSnapshotPointer&, bool storeDown, MonotonicTime now);
    // Records that the recent openings of the applied set have been pushed, so that its digest may be acknowledged.
    void confirm(std::uint64_t digest);
    // Puts applied doubts into effect once all live balancers have acknowledged them. Returns true if any were added.
    bool activate(const Membership&, const TableSnapshotPointer&);
    // Drops the doubts whose slots the table has assigned to other targets.
    void handleTable(const TableSnapshot&);

    // Digest of the applied set; 0 if it is empty.
    std::uint64_t digest() const;
    // Digest that this balancer acknowledges.
    std::uint64_t ackedDigest() const { return m_applied.empty() ? 0 : m_confirmedDigest; }
    const std::map<TargetId, MonotonicTime>& applied() const { return m_applied; }
    bool inEffect(TargetId id) const { return m_inEffect.contains(id); }
    const std::set<TargetId>& allInEffect() const { return m_inEffect; }
    // Slots whose newest candidate is a target with an applied doubt.
    std::set<SlotKey> slots(const TableSnapshot&) const;

private:
    void add(TargetId, const TableSnapshot&, MonotonicTime now);
    void addDoubts(const TargetMonitor&, const Membership&, const TableSnapshot&, MonotonicTime now);
    void shrink(const std::function<bool(TargetId)>& isOver);
    // Whether no more than half of the targets of the service are in doubt.
    bool withinLimit(TargetId, const TableSnapshot&, const std::set<TargetId>& alsoBad = {}) const;

    ControlTestSwitches m_switches;
    std::map<TargetId, MonotonicTime> m_applied;
    std::set<TargetId> m_inEffect;
    std::uint64_t m_confirmedDigest = 0;
};

} // namespace anvilwalk
