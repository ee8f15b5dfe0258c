#pragma once

#include <anvilwalk/connection.h>
#include <anvilwalk/process/RelayRouter.h>
#include <anvilwalk/process/RouterCounters.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>

namespace anvilwalk {

struct PreparedSlot;
struct PreparedService;
struct PreparedState;

struct SlotRouterOptions {
    // A balancer that has heard from no live peer for this long forwards nothing.
    std::chrono::milliseconds fenceAfter { 1200 };
    // Time within which an opening packet may still be repeated (TCP retransmits at 1, 3 and 7 s).
    std::chrono::milliseconds retransmissionWindow { 7000 };
    // One relay to the owner, one to the first settled balancer, up to two back, and two for a change of owner
    // while the packet is on its way.
    std::uint32_t maxRelays = 6;

    // Tests switch a mechanism off to show which failure it prevents.
    bool confirmWithBackup = true;
    bool honourAnnouncedPhase = true;
    bool consultSettled = true;
    bool keepClosedRecords = true;
    bool fence = true;
};

// Packet decisions by slot tables. A stable slot is forwarded by the table; the packets of any other slot go
// through the slot's owner, which keeps a record of each flow that its backup has confirmed.
class SlotRouter final : public RelayRouter {
public:
    SlotRouter(const SlotRouterOptions&, std::shared_ptr<FlowTable>);
    ~SlotRouter() override;
    SlotRouter(const SlotRouter&) = delete;
    SlotRouter& operator=(const SlotRouter&) = delete;

    Decision route(const PacketView&, MonotonicTime now) override;
    Decision routeRelayed(const RelayHeader&, const PacketView&, MonotonicTime now) override;
    void setState(RoutingStatePointer) override;
    void updatePeerContact(MonotonicTime) override;

    // Counts a packet that was dropped before it reached the router, for example by PacketView::parse.
    void countDrop(DropReason);
    // Counts the open flows of each service and target in one pass over the flow table. To be called every few
    // seconds; the limit on open flows is checked against this count.
    void countOpenFlows();
    RouterCountsSnapshot counters() const { return m_counters.snapshot(); }

private:
    // One packet while it is decided on.
    struct Context;

    const PreparedState* currentState() const;
    bool isFenced(const PreparedState&, MonotonicTime now) const;
    Decision routeStable(const Context&, const struct TableTarget&);
    Decision routeUnstable(const Context&);
    Decision decideAsOwner(const Context&);
    Decision decideUnknownFlow(const Context&);
    Decision replicate(const Context&, const RelayHeader&);
    Decision decideForUnknownOwner(const Context&, const std::optional<FlowRecord>&);
    Decision completeReplication(const Context&, const RelayHeader&);
    Decision propose(const Context&, TargetId, bool isNew);
    Decision handleFullTable(const Context&);
    Decision refuseOrDrop(const Context&, DropReason);
    Decision forward(const Context&, TargetId);
    Decision relay(const Context&, const struct RoutingMember&, RelayPurpose, const BalancerId& owner, TargetId);
    Decision drop(const Context&, DropReason);
    Decision dropUnknown(DropReason);

    InsertResult storeConfirmed(const Context&, TargetId, bool replaceTarget);
    bool isReuseOnLeavingTarget(const Context&, const FlowRecord&) const;
    bool needsConfirmation(const Context&, const FlowRecord&) const;
    bool isNewFlow(const Context&) const;

    SlotRouterOptions m_options;
    std::shared_ptr<FlowTable> m_flows;
    RouterCounters m_counters;
    std::atomic<std::int64_t> m_lastPeerContactNs;
    // Identifies the state in force among the states of all routers; see currentState.
    std::atomic<std::uint64_t> m_generation { 0 };
    mutable std::mutex m_mutex;
    std::shared_ptr<const PreparedState> m_state;
};

} // namespace anvilwalk
