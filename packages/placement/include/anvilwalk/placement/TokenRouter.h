#pragma once

#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/RouteTable.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/placement/TargetChooser.h>
#include <anvilwalk/request.h>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstdint>

namespace anvilwalk {

struct TokenRouterOptions {
    // A token that is still unknown in an answer of the store after this time belongs to a target that ended before
    // this balancer started.
    std::chrono::milliseconds unknownTokenGrace { 2500 };
    // Unknown tokens that are remembered; forged ones could be without number.
    std::size_t maxUnknownTokens = 1024;
};

struct TokenRouterCounters {
    std::uint64_t forwarded = 0;
    std::uint64_t opened = 0;
    std::uint64_t reopened = 0;
    std::array<std::uint64_t, dropReasonCount> resets {};
    std::array<std::uint64_t, dropReasonCount> drops {};
};

// Packet decisions by the token that both ends of a flow repeat. Any balancer forwards any packet of an open flow
// without state of the flow; only opening packets are placed. Not safe for use by several threads.
class TokenRouter final : public PacketRouter {
public:
    TokenRouter(const TokenRouterOptions&, TargetCatalogue&, FlowTracker&, TargetChooser&,
        PlacementObserver& = PlacementObserver::none());

    // Puts routes in force. An older version than the one in force changes nothing.
    void setRoutes(RouteTablePointer);
    const RouteTablePointer& routes() const { return m_routes; }
    // Whether the view of targets is complete and current, so that an unknown token means a target that has ended.
    void setViewCurrent(bool current) { m_viewCurrent = current; }

    // The store answered a call about targets with what is true now.
    void noteStoreAnswer(MonotonicTime now) { m_lastAnswer = now; }
    // Whether packets have come whose tokens name no known target, and the store's next answer decides about them.
    bool hasUnknownTokens() const;

    Decision route(const PacketView&, MonotonicTime now) override;
    void expire(MonotonicTime now);
    const TokenRouterCounters& counters() const { return m_counters; }

private:
    Decision placeOpening(const PacketFields&, const Route&, MonotonicTime now);
    Decision routeOpen(const PacketFields&, MonotonicTime now);
    Decision routeUnknownToken(const PacketFields&, MonotonicTime now);
    Decision reset(const PacketFields&, DropReason);
    Decision drop(const PacketFields&, DropReason);
    // Whether the store has answered since a token was first seen, late enough to name its target.
    bool isDecided(MonotonicTime firstSeen) const { return m_lastAnswer - firstSeen >= m_options.unknownTokenGrace; }

    TokenRouterOptions m_options;
    TargetCatalogue& m_targets;
    FlowTracker& m_flows;
    TargetChooser& m_chooser;
    PlacementObserver& m_observer;
    RouteTablePointer m_routes;
    bool m_viewCurrent = false;
    MonotonicTime m_lastAnswer;
    // First packet with a token that names no known target.
    absl::flat_hash_map<FlowToken, MonotonicTime> m_unknownSince;
    TokenRouterCounters m_counters;
};

} // namespace anvilwalk
