#pragma once

#include <anvilwalk/process/RoutingState.h>
#include <anvilwalk/process/TableHistory.h>

#include <map>
#include <memory>
#include <set>

namespace anvilwalk {

// Tells the table writer which moving slots have no record of an older candidate left at owner and backup. Each
// balancer claims this for slots that it owns or backs up; the writer needs both claims.
class SlotClearance {
public:
    SlotClearance(BalancerId self, std::shared_ptr<FlowTable>);

    // Counts the records of the slots whose idle deadline has passed. Costs a walk over the flow table, so that
    // it does so at most every two seconds.
    void tick(const RoutingState&, const TableHistory&, bool settled, MonotonicTime now);
    // Own claims are void after a change of table or members until the next count.
    void invalidate();

    // The next own claims for a heartbeat, in turn, as differences between rising numbers.
    std::vector<std::uint64_t> nextClaims();
    // Claims from a peer's heartbeat.
    void handleClaims(
        const BalancerId&, TableVersion tableVersion, const std::vector<std::uint64_t>&, MonotonicTime now);
    // Owner and backup in this state have both claimed the slot lately.
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
