#pragma once

#include <anvilwalk/placement/AdmissionController.h>
#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/PlacementExplanation.h>
#include <anvilwalk/placement/RouteTable.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/placement/TargetChooser.h>
#include <anvilwalk/placement/WarmUpLimiter.h>
#include <anvilwalk/request.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace anvilwalk {

struct TokenRouterOptions {
    // If the store answers this long after a token was first seen and the token is still unknown, its target must have
    // terminated before this balancer started.
    std::chrono::milliseconds unknownTokenGracePeriod { 2500 };
    // Maximum number of flows whose first packet is remembered until the store has confirmed the view. Further flows
    // are not reset.
    std::size_t maxUnconfirmedFlows = 16384;
    // Maximum number of withdrawn addresses that are remembered.
    std::size_t maxWithdrawnAddresses = 16384;
    // Maximum number of unknown tokens kept; bounds the memory that forged packets can use.
    std::size_t maxUnknownTokens = 1024;
};

struct TokenRouterCounters {
    std::uint64_t forwarded = 0;
    std::uint64_t forwardedOpenings = 0;
    std::uint64_t retransmittedOpenings = 0;
    std::array<std::uint64_t, dropReasonCount> resets {};
    std::array<std::uint64_t, dropReasonCount> drops {};
};

// Routes packets by the flow token that both endpoints put into every packet. Any balancer can forward packets of an
// open flow without per-flow state; only opening packets need a route and a choice of target. Not thread-safe.
class TokenRouter final : public PacketRouter {
public:
    TokenRouter(const TokenRouterOptions&, TargetCatalogue&, FlowTracker&, TargetChooser&,
        PlacementObserver& = PlacementObserver::none());

    // Sets what decides on new flows besides the choice of a target; null for nothing.
    void setAdmission(AdmissionController* admission) { m_admission = admission; }
    // Sets what limits the flows to targets that warm up; null for nothing.
    void setWarmUpLimiter(WarmUpLimiter*);
    // Applies a route table. Ignored if its version is not newer than the current one.
    void setRoutes(RouteTablePointer);
    const RouteTablePointer& routes() const { return m_routes; }
    // Sets whether the list of targets is complete and current, so that an unknown token means a terminated target.
    void setViewCurrent(bool current) { m_viewCurrent = current; }

    // Records that the targets include every change that the store had accepted at the given time.
    void recordTargetsConfirmed(MonotonicTime at) { m_targetsConfirmedAt = std::max(m_targetsConfirmedAt, at); }
    // Records that the routes include every change that the store had accepted at the given time.
    void recordRoutesConfirmed(MonotonicTime at) { m_routesConfirmedAt = std::max(m_routesConfirmedAt, at); }
    // Records that a call to the store failed or timed out. Running targets may be missing in its next answers.
    void recordStoreOutage(MonotonicTime now) { m_lastOutage = now; }
    // Records that the store was restored from an older copy. Open flows are reset for a route or target that is not
    // known only once the store has confirmed the view after the time in which the copy's gaps are filled.
    void recordStoreRestored(MonotonicTime now)
    {
        recordStoreOutage(now);
        m_restoreEnd = now + storeRestoreTime;
    }
    // Returns the earliest time at which a current answer of the store decides whether an unknown token belongs to a
    // terminated target; nullopt if no decision is pending.
    std::optional<MonotonicTime> currentAnswerDue() const;

    Decision route(const PacketView&, MonotonicTime now) override;
    // Explains where an opening packet of a flow would go now. Counts, logs and tracks nothing.
    PlacementExplanation explain(const FlowKey&, MonotonicTime now) const;
    void expire(MonotonicTime now);
    const TokenRouterCounters& counters() const { return m_counters; }

private:
    Decision placeNewFlow(const PacketFields&, MonotonicTime now);
    // Returns whether a target that an opening packet went to is not chosen again only because of its warm-up limit.
    bool isHeldBackByWarmUp(const std::vector<Target*>&, const TriedTargets&, MonotonicTime now) const;
    Decision routeOpenFlow(const PacketFields&, MonotonicTime now);
    // Returns whether a configuration has withdrawn the route of an open flow. An address without a route alone does
    // not show that: the flow may have been opened at a balancer that has a newer configuration.
    bool isRouteWithdrawn(const PacketFields&, MonotonicTime now);
    void updateWithdrawnAddresses(const RouteTable& next);
    Decision routeUnknownToken(const PacketFields&, MonotonicTime now);
    Decision reset(const PacketFields&, DropReason);
    Decision drop(const PacketFields&, DropReason);
    // End of the time in which the target of an unknown token becomes known, if it is running.
    MonotonicTime graceEndOf(MonotonicTime firstSeen) const
    {
        return std::max(std::max(firstSeen, m_lastOutage) + m_options.unknownTokenGracePeriod, m_restoreEnd);
    }
    // Returns whether a view that was confirmed at the given time includes the changes that preceded a flow: its first
    // packet arrived here before that. A restored store's view does so only once the gaps of its copy are filled.
    bool includesFlow(MonotonicTime confirmedAt, const FlowKey&, MonotonicTime now);

    TokenRouterOptions m_options;
    TargetCatalogue& m_targets;
    FlowTracker& m_flows;
    TargetChooser& m_chooser;
    PlacementObserver& m_observer;
    AdmissionController* m_admission = nullptr;
    WarmUpLimiter* m_warmUp = nullptr;
    RouteTablePointer m_routes;
    MonotonicTime m_routesConfirmedAt;
    // Addresses whose route was withdrawn while this balancer ran.
    absl::flat_hash_set<ServiceAddress> m_withdrawnAddresses;
    // Arrival time of the first packet of each open flow that the view contradicts: there is no route for its address,
    // or its target is unknown or gone. The flow may be newer than the view.
    absl::flat_hash_map<FlowKey, MonotonicTime, FlowKeyHash> m_unconfirmedFlows;
    bool m_viewCurrent = false;
    MonotonicTime m_targetsConfirmedAt;
    MonotonicTime m_lastOutage;
    // End of the time in which entries that a restored store lacks are written again.
    MonotonicTime m_restoreEnd;
    // Arrival time of the first packet with each unknown token.
    absl::flat_hash_map<FlowToken, MonotonicTime> m_unknownSince;
    TokenRouterCounters m_counters;
};

} // namespace anvilwalk
