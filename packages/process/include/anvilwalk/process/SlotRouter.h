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
    // A balancer without contact to a live peer for longer than this drops all packets (self-fencing).
    std::chrono::milliseconds fenceAfter { 1200 };
    // Time within which a client may retransmit an opening packet (TCP retransmits after 1, 3 and 7 s).
    std::chrono::milliseconds retransmissionWindow { 7000 };
    // Hop limit of a packet: one relay to the owner, one to the first settled balancer, up to two back, and two
    // more if the owner changes while the packet is in transit.
    std::uint32_t maxRelays = 6;

    // Each option enables one mechanism; tests disable it to show which failure it prevents.
    bool confirmWithBackup = true;
    bool honourAnnouncedPhase = true;
    bool consultSettled = true;
    bool keepClosedRecords = true;
    bool fence = true;
};

// Routes packets by slot tables. Packets of a stable slot are forwarded directly to the target in the table. Packets
// of any other slot are relayed to the slot's owner, which keeps a record of each flow, confirmed by its backup.
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
    // Counts the open flows of each service and target in one pass over the flow table. Call it every few seconds:
    // the limit on open flows is checked against this count.
    void countOpenFlows();
    RouterCountsSnapshot counters() const { return m_counters.snapshot(); }

private:
    // The packet being routed, with its service, slot and the state in force.
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
    // Unique among the states of all routers, so that a thread-local cache is valid for one router only; see
    // currentState.
    std::atomic<std::uint64_t> m_generation { 0 };
    mutable std::mutex m_mutex;
    std::shared_ptr<const PreparedState> m_state;
};

} // namespace anvilwalk
