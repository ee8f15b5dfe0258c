#pragma once

#include "PacketBuilder.h"

#include <anvilwalk/process.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilwalk::fakes {

// Where a packet ended.
struct RouteResult {
    // Empty if the packet was lost at a dead balancer.
    std::optional<Decision> decision;
    std::size_t lastBalancer = 0;
    std::size_t relays = 0;

    // Target that got the packet; none if no target did.
    TargetId target() const;
    std::optional<DropReason> dropReason() const;
    bool refused() const;
};

// A packet on its way between two balancers.
struct PacketInTransit {
    std::vector<std::uint8_t> bytes;
    std::size_t receiver = 0;
    // Unset for a packet from the fabric.
    std::optional<RelayHeader> header;
    std::size_t relays = 0;
};

// Slot routers of one data centre whose relays are carried in memory. Each has its own view of the table and of
// the members, set by the test.
class RouterCluster {
public:
    struct Node {
        std::shared_ptr<FlowTable> flows;
        std::unique_ptr<SlotRouter> router;
        RoutingState state;
        bool alive = true;
    };

    RouterCluster(std::size_t balancers, ConfigSnapshotPointer, const SlotRouterOptions& = {},
        const FlowTableOptions& = { .capacity = 4096, .shards = 4 });

    // Adds a balancer that no view contains yet; returns its index.
    std::size_t addBalancer();
    Node& node(std::size_t index) { return *m_nodes[index]; }
    std::size_t size() const { return m_nodes.size(); }
    static BalancerId idOf(std::size_t index);
    static std::size_t indexOf(const Ipv4Endpoint& relayEndpoint);
    static RoutingMember memberOf(std::size_t index, bool settled);

    // Puts the node's edited state in force.
    void apply(std::size_t index);
    void setTable(std::size_t index, TableSnapshotPointer);
    void setTableEverywhere(const TableSnapshotPointer&);
    // Adds, replaces or removes a member in one view.
    void setMember(std::size_t view, std::size_t member, bool settled);
    void removeMember(std::size_t view, std::size_t member);
    // Balancers by rank in a view.
    std::vector<std::size_t> order(std::size_t view, ServiceId, SlotIndex) const;

    // Follows a packet from the fabric to its end.
    RouteResult send(std::size_t balancer, const std::vector<std::uint8_t>& packet, MonotonicTime now);
    // Processes one hop. The packet to send next, or nothing if it ended; then the result is set.
    std::optional<PacketInTransit> step(const PacketInTransit&, MonotonicTime now, RouteResult&);

private:
    ConfigSnapshotPointer m_config;
    SlotRouterOptions m_options;
    FlowTableOptions m_tableOptions;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace anvilwalk::fakes
