#pragma once

#include <anvilwalk/process/RoutingState.h>
#include <anvilwalk/process/TableHistory.h>

#include <map>
#include <memory>
#include <set>

namespace anvilwalk {

// Tracks which moving slots are clear, that is, have no flow record of an older candidate left at owner and backup.
// Each balancer claims this for the slots that it owns or backs up; the table writer requires both claims.
class SlotClearance {
public:
    SlotClearance(BalancerId self, std::shared_ptr<FlowTable>);

    // Checks the records of the slots whose idle deadline has passed. Scans the whole flow table, therefore at most
    // every 2 s.
    void tick(const RoutingState&, const TableHistory&, bool settled, MonotonicTime now);
    // Discards this balancer's claims until the next scan. Call it after a change of table or members.
    void invalidate();

    // This balancer's next claims for a heartbeat, in rotation, delta-encoded in ascending order.
    std::vector<std::uint64_t> nextClaims();
    // Stores the claims from a peer's heartbeat, with the table version that the heartbeat reports.
    void handleClaims(
        const BalancerId&, TableVersion tableVersion, const std::vector<std::uint64_t>&, MonotonicTime now);
    // Whether owner and backup in this state are settled and have both made a valid claim for the slot.
    bool isClear(const RoutingState&, const SlotKey&, MonotonicTime now) const;

private:
    struct Claim {
        TableVersion tableVersion;
        MonotonicTime claimedAt;
    };
    std::set<SlotKey> dueSlots(const RoutingState&, const TableHistory&, MonotonicTime now) const;

    BalancerId m_self;
    std::shared_ptr<FlowTable> m_flows;
    std::set<SlotKey> m_ownClaims;
    SlotKey m_lastSent {};
    MonotonicTime m_nextCount {};
    std::map<SlotKey, std::map<BalancerId, Claim>> m_claims;
};

} // namespace anvilwalk
