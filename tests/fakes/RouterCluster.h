#pragma once

#include "PacketBuilder.h"

#include <anvilwalk/process.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilwalk::fakes {

// Final decision on a packet after all relays.
struct RouteResult {
    // Empty if the packet was sent to a balancer that is not alive.
    std::optional<Decision> decision;
    std::size_t lastBalancer = 0;
    std::size_t relays = 0;

    // Target that received the packet, or an empty id.
    TargetId target() const;
    std::optional<DropReason> dropReason() const;
    bool refused() const;
};

// A packet in transit to a balancer.
struct PacketInTransit {
    std::vector<std::uint8_t> bytes;
    std::size_t receiver = 0;
    // Unset for a packet from the fabric.
    std::optional<RelayHeader> header;
    std::size_t relays = 0;
};

// The slot routers of one data centre, with relays delivered in memory. Each router has its own view of the table and
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

    // Adds a balancer that is not a member in any view yet and returns its index.
    std::size_t addBalancer();
    Node& node(std::size_t index) { return *m_nodes[index]; }
    std::size_t size() const { return m_nodes.size(); }
    static BalancerId idOf(std::size_t index);
    static std::size_t indexOf(const Ipv4Endpoint& relayEndpoint);
    static RoutingMember memberOf(std::size_t index, bool settled);

    // Passes the node's state to its router. Call it after changing the state directly.
    void apply(std::size_t index);
    void setTable(std::size_t index, TableSnapshotPointer);
    void setTableEverywhere(const TableSnapshotPointer&);
    // Adds, replaces or removes a member in one view.
    void setMember(std::size_t view, std::size_t member, bool settled);
    void removeMember(std::size_t view, std::size_t member);
    // Indices of the balancers by rank for a slot in a view: owner first, then backup.
    std::vector<std::size_t> order(std::size_t view, ServiceId, SlotIndex) const;

    // Routes a packet from the fabric through all its relays.
    RouteResult send(std::size_t balancer, const std::vector<std::uint8_t>& packet, MonotonicTime now);
    // Processes one hop. Returns the relayed packet, or nullopt after setting the result if there is no further relay.
    std::optional<PacketInTransit> step(const PacketInTransit&, MonotonicTime now, RouteResult&);

private:
    ConfigSnapshotPointer m_config;
    SlotRouterOptions m_options;
    FlowTableOptions m_tableOptions;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace anvilwalk::fakes
