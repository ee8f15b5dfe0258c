#include <anvilwalk/process.h>

#include <catch2/catch.hpp>
#include <fakes/RouterFixture.h>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

constexpr SlotIndex slot { 5 };
constexpr TargetId oldTarget { 2 };
constexpr TargetId newTarget { 3 };

std::uint64_t dropsOf(RouterFixture& fixture, std::size_t balancer, DropReason reason)
{
    return fixture.cluster.node(balancer).router->counters().drops[static_cast<std::size_t>(reason)];
}

ServiceCounts countsOf(RouterFixture& fixture, std::size_t balancer)
{
    for (const ServiceCounts& counts : fixture.cluster.node(balancer).router->counters().services) {
        if (counts.service == dispatch)
            return counts;
    }
    return {};
}

} // namespace

TEST_CASE("SlotRouter forwards a stable slot by the table at every balancer without a relay")
{
    RouterFixture fixture;
    const FlowKey key = flowInSlot(dispatch, slot);
    for (std::size_t balancer = 0; balancer < 3; ++balancer) {
        const RouteResult result = fixture.open(balancer, key);
        CHECK(result.target() == oldTarget);
        CHECK(result.relays == 0);
        CHECK(std::get<ForwardToTarget>(*result.decision).tunnel == tunnelOf(oldTarget));
        CHECK(fixture.data(balancer, key).target() == oldTarget);
    }
}

// Guards against a packet that reaches the target of another service (requirement R2).
TEST_CASE("SlotRouter drops and counts packets whose address, port and protocol match no service")
{
    RouterFixture fixture;
    FlowKey key = flowOf(dispatch, 1);
    key.destinationPort = 444;
    CHECK(fixture.open(0, key).dropReason() == DropReason::UnknownAddress);
    key = flowOf(dispatch, 1);
    key.protocol = Protocol::Udp;
    CHECK(fixture.datagram(0, key).dropReason() == DropReason::UnknownAddress);
    CHECK(dropsOf(fixture, 0, DropReason::UnknownAddress) == 2);
}

TEST_CASE("SlotRouter without a state or a table forwards nothing")
{
    RouterFixture fixture;
    SlotRouter router({}, std::make_shared<FlowTable>(FlowTableOptions { .capacity = 16, .shards = 1 }));
    const auto bytes = buildTcpPacket(flowOf(dispatch, 1), { .syn = true });
    const auto packet = std::get<PacketView>(PacketView::parse(bytes));
    CHECK(std::get<DropPacket>(router.route(packet, fixture.clock.now())).reason == DropReason::StaleState);
    RoutingState state = fixture.cluster.node(0).state;
    state.table = nullptr;
    router.setState(std::make_shared<const RoutingState>(state));
    CHECK(std::get<DropPacket>(router.route(packet, fixture.clock.now())).reason == DropReason::NoTarget);
}

TEST_CASE("SlotRouter sends opening packets to the old target while announced and to the new one while moving")
{
    RouterFixture fixture;
    const FlowKey first = flowInSlot(dispatch, slot, 0);
    const FlowKey second = flowInSlot(dispatch, slot, 1);
    fixture.table.announce(dispatch, slot, newTarget);
    fixture.publishTable();
    CHECK(fixture.open(0, first).target() == oldTarget);
    fixture.table.startMoving(dispatch, slot);
    fixture.publishTable();
    for (std::size_t balancer = 0; balancer < 3; ++balancer) {
        CHECK(fixture.open(balancer, second).target() == newTarget);
        CHECK(fixture.data(balancer, first).target() == oldTarget);
        CHECK(fixture.data(balancer, second).target() == newTarget);
    }
    // A flow opened before the announcement, of which no balancer has a record.
    CHECK(fixture.data(1, flowInSlot(dispatch, slot, 2)).target() == oldTarget);
}

// Guards against flows that are lost when their owner fails: the opening packet is relayed through the backup, so that
// both hold the record before the packet is forwarded.
TEST_CASE("SlotRouter replicates every record of an owner to the backup")
{
    RouterFixture fixture;
    fixture.moveSlot(dispatch, slot, newTarget);
    const FlowKey key = flowInSlot(dispatch, slot);
    CHECK(fixture.open(0, key).relays <= 3);
    const auto order = fixture.cluster.order(0, dispatch, slot);
    for (const std::size_t rank : { 0, 1 }) {
        const auto record = fixture.cluster.node(order[rank]).flows->find(key, key.hash());
        REQUIRE(record);
        CHECK(record->target == newTarget);
        CHECK(record->kind == FlowRecordKind::Confirmed);
    }
    CHECK_FALSE(fixture.cluster.node(order[2]).flows->find(key, key.hash()));
}

// Guards against a record that expires at the backup while its flow is still active at the owner.
TEST_CASE("SlotRouter renews the backup's copy of an active flow within the idle deadline")
{
    RouterFixture fixture;
    fixture.moveSlot(dispatch, slot, newTarget);
    const FlowKey key = flowInSlot(dispatch, slot);
    fixture.open(0, key);
    const auto order = fixture.cluster.order(0, dispatch, slot);
    for (int minute = 0; minute < 20; ++minute) {
        fixture.clock.advance(60s);
        CHECK(fixture.data(0, key).target() == newTarget);
        for (std::size_t i = 0; i < 3; ++i)
            fixture.cluster.node(i).flows->expire(fixture.clock.now(), [](ServiceId) { return 300'000ms; });
    }
    CHECK(fixture.cluster.node(order[1]).flows->find(key, key.hash()));
}

TEST_CASE("SlotRouter drops relayed packets whose header does not match the packet")
{
    RouterFixture fixture;
    SlotRouter& router = *fixture.cluster.node(0).router;
    const auto bytes = buildTcpPacket(flowInSlot(dispatch, slot), { .ack = true });
    const auto packet = std::get<PacketView>(PacketView::parse(bytes));
    RelayHeader good;
    good.hops = 1;
    good.sender = RouterCluster::idOf(1);
    good.service = dispatch;
    good.slot = slot;
    const auto reasonOf = [&](const RelayHeader& header) {
        const Decision decision = router.routeRelayed(header, packet, fixture.clock.now());
        const auto* drop = std::get_if<DropPacket>(&decision);
        return drop ? std::optional(drop->reason) : std::nullopt;
    };
    CHECK_FALSE(reasonOf(good));
    RelayHeader header = good;
    header.service = photos;
    CHECK(reasonOf(header) == DropReason::BadRelayHeader);
    header = good;
    header.slot = SlotIndex(6);
    CHECK(reasonOf(header) == DropReason::BadRelayHeader);
    header = good;
    header.hops = 0;
    CHECK(reasonOf(header) == DropReason::BadRelayHeader);
    header.hops = 7;
    CHECK(reasonOf(header) == DropReason::TooManyRelays);
    header = good;
    header.purpose = RelayPurpose::Replicate;
    CHECK(reasonOf(header) == DropReason::BadRelayHeader);
}

TEST_CASE("SlotRouter counts packets, openings by target and open flows")
{
    RouterFixture fixture;
    fixture.moveSlot(dispatch, slot, newTarget);
    const std::size_t owner = fixture.cluster.order(0, dispatch, slot)[0];
    const std::size_t other = (owner + 1) % 3;
    const FlowKey moving = flowInSlot(dispatch, slot);
    fixture.open(owner, moving);
    fixture.data(owner, moving);
    fixture.open(other, flowInSlot(dispatch, SlotIndex(0)));
    CHECK(countsOf(fixture, owner).packets == 2);
    CHECK(countsOf(fixture, owner).openings == 1);
    CHECK(countsOf(fixture, owner).openingsByTarget.at(newTarget) == 1);
    CHECK(countsOf(fixture, other).openingsByTarget.at(TargetId(1)) == 1);
    fixture.close(owner, moving);
    fixture.cluster.node(owner).router->countOpenFlows();
    fixture.cluster.node(other).router->countOpenFlows();
    CHECK(countsOf(fixture, owner).openFlows == 0);
    CHECK(countsOf(fixture, other).openFlowsByTarget.at(TargetId(1)) == 1);
}

// Guards against a paused or partitioned balancer that forwards by an outdated table.
TEST_CASE("SlotRouter forwards nothing 1.2 s after the last contact with a live peer")
{
    const bool fence = GENERATE(true, false);
    RouterFixture fixture({ .router = { .fence = fence }, .limits = {} });
    RouterCluster::Node& node = fixture.cluster.node(0);
    node.state.hasLivePeers = true;
    fixture.cluster.apply(0);
    const FlowKey key = flowInSlot(dispatch, slot);
    node.router->updatePeerContact(fixture.clock.now());
    CHECK(fixture.open(0, key).target() == oldTarget);
    fixture.clock.advance(1200ms);
    CHECK(fixture.data(0, key).target() == oldTarget);
    fixture.clock.advance(1ms);
    // With fencing disabled, the balancer still forwards.
    CHECK((fixture.data(0, key).dropReason() == DropReason::StaleState) == fence);
    node.state.servesAlone = true;
    fixture.cluster.apply(0);
    CHECK(fixture.data(0, key).target() == oldTarget);
}

TEST_CASE("SlotRouter with live peers forwards nothing before the first contact with one")
{
    RouterFixture fixture;
    fixture.cluster.node(0).state.hasLivePeers = true;
    fixture.cluster.apply(0);
    CHECK(fixture.open(0, flowInSlot(dispatch, slot)).dropReason() == DropReason::StaleState);
}

TEST_CASE("SlotRouter treats the slots of a doubted target as announced, then as moving to a fallback")
{
    RouterFixture fixture;
    const FlowKey early = flowInSlot(dispatch, slot, 0);
    const FlowKey late = flowInSlot(dispatch, slot, 1);
    const auto doubt = [&](bool agreed) {
        for (std::size_t i = 0; i < 3; ++i) {
            fixture.cluster.node(i).state.doubts[oldTarget]
                = { .target = oldTarget, .agreed = agreed, .since = fixture.clock.now() };
            fixture.cluster.apply(i);
        }
    };
    doubt(false);
    CHECK(fixture.open(0, early).target() == oldTarget);
    doubt(true);
    const TargetId fallback = fixture.open(0, late).target();
    CHECK(fallback != oldTarget);
    CHECK(fallback != TargetId());
    for (std::size_t balancer = 0; balancer < 3; ++balancer) {
        CHECK(fixture.data(balancer, early).target() == oldTarget);
        CHECK(fixture.data(balancer, late).target() == fallback);
    }
}
