#include "RouterCluster.h"

#include <algorithm>
#include <stdexcept>

namespace anvilwalk::fakes {

namespace {
    constexpr std::uint16_t firstRelayPort = 7000;
}

TargetId RouteResult::target() const
{
    const auto* forward = decision ? std::get_if<ForwardToTarget>(&*decision) : nullptr;
    return forward ? forward->target : TargetId();
}

std::optional<DropReason> RouteResult::dropReason() const
{
    const auto* drop = decision ? std::get_if<DropPacket>(&*decision) : nullptr;
    return drop ? std::optional(drop->reason) : std::nullopt;
}

bool RouteResult::refused() const { return decision && std::holds_alternative<RefuseFlow>(*decision); }

RouterCluster::RouterCluster(std::size_t balancers, ConfigSnapshotPointer config, const SlotRouterOptions& options,
    const FlowTableOptions& tableOptions)
    : m_config(std::move(config))
    , m_options(options)
    , m_tableOptions(tableOptions)
{
    for (std::size_t i = 0; i < balancers; ++i)
        addBalancer();
    for (std::size_t view = 0; view < balancers; ++view) {
        for (std::size_t member = 0; member < balancers; ++member)
            setMember(view, member, true);
    }
}

std::size_t RouterCluster::addBalancer()
{
    const std::size_t index = m_nodes.size();
    auto node = std::make_unique<Node>();
    node->flows = std::make_shared<FlowTable>(m_tableOptions);
    node->router = std::make_unique<SlotRouter>(m_options, node->flows);
    node->state.self = idOf(index);
    node->state.config = m_config;
    m_nodes.push_back(std::move(node));
    apply(index);
    return index;
}

BalancerId RouterCluster::idOf(std::size_t index) { return BalancerId("balancer-" + std::to_string(index)); }

std::size_t RouterCluster::indexOf(const Ipv4Endpoint& relayEndpoint) { return relayEndpoint.port - firstRelayPort; }

RoutingMember RouterCluster::memberOf(std::size_t index, bool settled)
{
    const BalancerId id = idOf(index);
    return { .id = id,
        .key = hashText(id.value()),
        .relayEndpoint = { .address = {}, .port = static_cast<std::uint16_t>(firstRelayPort + index) },
        .settled = settled };
}

void RouterCluster::apply(std::size_t index)
{
    Node& changed = node(index);
    changed.router->setState(std::make_shared<const RoutingState>(changed.state));
}

void RouterCluster::setTable(std::size_t index, TableSnapshotPointer table)
{
    node(index).state.table = std::move(table);
    apply(index);
}

void RouterCluster::setTableEverywhere(const TableSnapshotPointer& table)
{
    for (std::size_t i = 0; i < size(); ++i)
        setTable(i, table);
}

void RouterCluster::setMember(std::size_t view, std::size_t member, bool settled)
{
    auto& members = node(view).state.members;
    std::erase_if(members, [&](const RoutingMember& known) { return known.id == idOf(member); });
    members.push_back(memberOf(member, settled));
    apply(view);
}

void RouterCluster::removeMember(std::size_t view, std::size_t member)
{
    std::erase_if(node(view).state.members, [&](const RoutingMember& known) { return known.id == idOf(member); });
    apply(view);
}

std::vector<std::size_t> RouterCluster::order(std::size_t view, ServiceId service, SlotIndex slot) const
{
    std::vector<std::size_t> result;
    for (const RoutingMember* member : rankMembers(m_nodes[view]->state, service, slot))
        result.push_back(indexOf(member->relayEndpoint));
    return result;
}

RouteResult RouterCluster::send(std::size_t balancer, const std::vector<std::uint8_t>& packet, MonotonicTime now)
{
    RouteResult result;
    std::optional<PacketInTransit> transit
        = PacketInTransit { .bytes = packet, .receiver = balancer, .header = std::nullopt, .relays = 0 };
    while (transit)
        transit = step(*transit, now, result);
    return result;
}

std::optional<PacketInTransit> RouterCluster::step(
    const PacketInTransit& transit, MonotonicTime now, RouteResult& result)
{
    Node& receiver = node(transit.receiver);
    result.lastBalancer = transit.receiver;
    result.relays = transit.relays;
    if (!receiver.alive)
        return std::nullopt;
    const auto parsed = PacketView::parse(transit.bytes);
    if (!std::holds_alternative<PacketView>(parsed))
        throw std::invalid_argument("test packet cannot be parsed");
    const auto& view = std::get<PacketView>(parsed);
    Decision decision = transit.header ? receiver.router->routeRelayed(*transit.header, view, now)
                                       : receiver.router->route(view, now);
    if (const auto* relay = std::get_if<RelayToBalancer>(&decision)) {
        return PacketInTransit { .bytes = transit.bytes,
            .receiver = indexOf(relay->relayEndpoint),
            .header = relay->header,
            .relays = transit.relays + 1 };
    }
    result.decision = std::move(decision);
    return std::nullopt;
}

} // namespace anvilwalk::fakes
