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
constexpr TargetId thirdTarget { 4 };

// Counts the refusals of all balancers. A client takes a refusal as proof that its request was not run.
std::uint64_t refusals(RouterFixture& fixture)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < fixture.cluster.size(); ++i) {
        for (const ServiceCounts& counts : fixture.cluster.node(i).router->counters().services)
            total += counts.refused;
    }
    return total;
}

// Fills one balancer's flow table with empty records, which belong to no service.
void fillTable(RouterFixture& fixture, std::size_t balancer)
{
    FlowTable& flows = *fixture.cluster.node(balancer).flows;
    for (std::uint32_t i = 0; flows.size() < flows.capacity(); ++i) {
        const FlowKey key = flowOf(photos, i);
        flows.insert(key, key.hash(), {}, fixture.clock.now());
    }
}

// Stores the recent openings of one balancer at owner and backup, as a balancer does before it echoes a table version.
void pushOpenings(RouterFixture& fixture, std::size_t from)
{
    const auto entries = FlowRecordCodec::recentOpenings(
        *fixture.cluster.node(from).flows, [](ServiceId, SlotIndex index) { return index == slot; },
        fixture.clock.now());
    const auto order = fixture.cluster.order(from, dispatch, slot);
    for (const std::size_t rank : { 0, 1 })
        FlowRecordCodec::store(*fixture.cluster.node(order[rank]).flows, entries, fixture.clock.now());
}

} // namespace

// Guards against a flow that is sent to two targets because balancers have different table versions: first stable and
// announced, then announced and moving. Either balancer may receive the first packet.
TEST_CASE("SlotRouter gives a flow one target at balancers with different table versions, in both orders")
{
    const bool announcedFirst = GENERATE(true, false);
    for (std::uint32_t behind = 0; behind < 3; ++behind) {
        RouterFixture fixture;
        const std::size_t ahead = (behind + 1) % 3;
        fixture.table.announce(dispatch, slot, newTarget);
        fixture.publishTableTo({ ahead, (behind + 2) % 3 });
        const FlowKey key = flowInSlot(dispatch, slot, behind);
        const TargetId first = fixture.open(announcedFirst ? ahead : behind, key).target();
        CHECK(first == oldTarget);
        CHECK(fixture.data(announcedFirst ? behind : ahead, key).target() == first);
        fixture.cluster.setTable(behind, fixture.cluster.node(ahead).state.table);
        pushOpenings(fixture, behind);

        fixture.clock.advance(1200ms);
        fixture.table.startMoving(dispatch, slot);
        fixture.publishTableTo({ ahead, (behind + 2) % 3 });
        CHECK(fixture.open(behind, key).target() == first);
        const FlowKey other = flowInSlot(dispatch, slot, behind + 10);
        const TargetId chosen = fixture.open(announcedFirst ? ahead : behind, other).target();
        CHECK(chosen != TargetId());
        for (std::size_t balancer = 0; balancer < 3; ++balancer) {
            CHECK(fixture.data(balancer, key).target() == first);
            CHECK(fixture.data(balancer, other).target() == chosen);
        }
    }
}

namespace {

// Whether a retransmitted opening packet reaches the target of its first copy although the slot's target changed.
bool repeatedOpeningKeepsTarget(const SlotRouterOptions& options)
{
    RouterFixture fixture({ .router = options, .limits = {} });
    const FlowKey key = flowInSlot(dispatch, slot);
    const std::size_t owner = fixture.cluster.order(0, dispatch, slot)[0];
    const std::size_t behind = (owner + 1) % 3;
    fixture.table.announce(dispatch, slot, newTarget);
    // The slot is still stable at one balancer, which receives the first copy.
    fixture.publishTableTo({ owner, (owner + 2) % 3 });
    const TargetId first = fixture.open(behind, key).target();
    const TargetId early = fixture.open(owner, flowInSlot(dispatch, slot, 1)).target();
    const TargetId repeated = fixture.open(owner, key).target();
    pushOpenings(fixture, behind);
    fixture.cluster.setTable(behind, fixture.cluster.node(owner).state.table);
    fixture.clock.advance(1200ms);
    fixture.table.startMoving(dispatch, slot);
    fixture.publishTable();
    fixture.clock.advance(1800ms);
    return first == repeated && first == early && fixture.open(owner, key).target() == first
        && fixture.open(behind, key).target() == first;
}

} // namespace

// Guards against a request that runs twice because its opening packet was retransmitted (requirement R5).
TEST_CASE("SlotRouter sends an opening packet that is repeated after a change to the target of its first copy")
{
    CHECK(repeatedOpeningKeepsTarget({}));
    CHECK_FALSE(repeatedOpeningKeepsTarget({ .honourAnnouncedPhase = false }));
}

namespace {

// Whether a flow opened in the moving phase keeps its target when the slot's owner fails.
bool flowSurvivesOwnerFailure(const SlotRouterOptions& options)
{
    RouterFixture fixture({ .router = options, .limits = {} });
    fixture.moveSlot(dispatch, slot, newTarget);
    const FlowKey key = flowInSlot(dispatch, slot);
    fixture.open(0, key);
    const auto order = fixture.cluster.order(0, dispatch, slot);
    fixture.cluster.node(order[0]).alive = false;
    const bool lost = !fixture.data(order[1], key).decision;
    for (const std::size_t survivor : { order[1], order[2] })
        fixture.cluster.removeMember(survivor, order[0]);
    return lost && fixture.data(order[1], key).target() == newTarget
        && fixture.data(order[2], key).target() == newTarget;
}

} // namespace

TEST_CASE("SlotRouter keeps the flows of a slot when its owner fails")
{
    CHECK(flowSurvivesOwnerFailure({}));
    CHECK_FALSE(flowSurvivesOwnerFailure({ .confirmWithBackup = false }));
}

// Guards against an owner that resumes after a pause and lacks the records of flows opened meanwhile. It is unsettled
// until it has fetched them.
TEST_CASE("SlotRouter at an owner that was paused keeps flows opened during the pause on their target")
{
    for (const bool confirm : { true, false }) {
        RouterFixture fixture({ .router = { .confirmWithBackup = confirm }, .limits = {} });
        fixture.moveSlot(dispatch, slot, newTarget);
        const auto order = fixture.cluster.order(0, dispatch, slot);
        const std::size_t paused = order[0];
        RouterCluster::Node& node = fixture.cluster.node(paused);
        node.state.hasLivePeers = true;
        fixture.cluster.apply(paused);
        node.router->updatePeerContact(fixture.clock.now());
        for (const std::size_t other : { order[1], order[2] })
            fixture.cluster.removeMember(other, paused);
        const FlowKey key = flowInSlot(dispatch, slot);
        CHECK(fixture.open(order[2], key).target() == newTarget);
        fixture.clock.advance(3s);
        CHECK(fixture.data(paused, key).dropReason() == DropReason::StaleState);
        node.router->updatePeerContact(fixture.clock.now());
        for (const std::size_t view : order)
            fixture.cluster.setMember(view, paused, false);
        bool kept = true;
        for (const std::size_t balancer : order)
            kept = kept && fixture.data(balancer, key).target() == newTarget;
        CHECK(kept == confirm);
    }
}

// Guards against routing loops while balancers have different views of the members.
TEST_CASE("SlotRouter relays a packet at most 6 times, whatever each balancer's view of the members")
{
    for (std::uint32_t views = 0; views < 256; ++views) {
        RouterFixture fixture({ .balancers = 4, .limits = {} });
        fixture.moveSlot(dispatch, slot, newTarget);
        for (std::size_t balancer = 0; balancer < 4; ++balancer) {
            const std::uint32_t bits = (views >> (2 * balancer)) & 3U;
            if (bits != 0)
                fixture.cluster.removeMember(balancer, (balancer + bits) % 4);
        }
        for (std::size_t balancer = 0; balancer < 4; ++balancer) {
            const FlowKey key = flowInSlot(dispatch, slot, static_cast<std::uint32_t>(balancer));
            const RouteResult result = fixture.open(balancer, key);
            CAPTURE(views, balancer);
            CHECK(result.relays <= 6);
            CHECK(result.decision);
        }
    }
}

TEST_CASE("SlotRouter gives a flow one target while two balancers both act as owner of its slot")
{
    RouterFixture fixture;
    fixture.moveSlot(dispatch, slot, newTarget);
    const auto order = fixture.cluster.order(0, dispatch, slot);
    // The balancer ranked second has declared the first dead, but the first is still alive and unaware of it.
    fixture.cluster.removeMember(order[1], order[0]);
    for (std::uint32_t number = 0; number < 20; ++number) {
        const FlowKey key = flowInSlot(dispatch, slot, number);
        const TargetId first = fixture.open(order[number % 2], key).target();
        CHECK(first != TargetId());
        CHECK(fixture.data(order[(number + 1) % 2], key).target() == first);
        CHECK(fixture.data(order[2], key).target() == first);
    }
}

namespace {

// Whether flows keep their target while two balancers with empty flow tables join, which may become owner and backup.
bool flowsKeepTargetWhileOwnerJoins(const SlotRouterOptions& options, bool trafficBetweenJoins)
{
    bool kept = true;
    // The ranks of the new balancers depend on the slot, so try several slots.
    for (std::uint16_t index = 0; index < 40; ++index) {
        RouterFixture fixture({ .router = options, .limits = {} });
        const SlotIndex joined(index);
        fixture.moveSlot(dispatch, joined, TargetId(4 - index % 4));
        const FlowKey key = flowInSlot(dispatch, joined);
        const TargetId target = fixture.open(0, key).target();
        for (int joins = 0; joins < 2; ++joins) {
            const std::size_t joiner = fixture.cluster.addBalancer();
            RoutingState& state = fixture.cluster.node(joiner).state;
            state.table = fixture.cluster.node(0).state.table;
            state.members = fixture.cluster.node(0).state.members;
            for (std::size_t view = joiner + 1; view-- > 0;) {
                fixture.cluster.setMember(view, joiner, false);
                const bool bothJoined = joins == 1 && view == 0;
                if (!trafficBetweenJoins && !bothJoined)
                    continue;
                for (std::size_t balancer = 0; balancer <= joiner; ++balancer)
                    kept = kept && fixture.data(balancer, key).target() == target;
            }
        }
    }
    return kept;
}

} // namespace

TEST_CASE("SlotRouter keeps flows on their target while two balancers with empty flow tables join")
{
    CHECK(flowsKeepTargetWhileOwnerJoins({}, true));
    CHECK(flowsKeepTargetWhileOwnerJoins({}, false));
    CHECK_FALSE(flowsKeepTargetWhileOwnerJoins({ .consultSettled = false }, false));
}

// Guards against an owner and a backup that join at the same time and store different records of a flow.
TEST_CASE("SlotRouter copies the settled balancer's record to owner and backup when both are unsettled")
{
    RouterFixture fixture({ .balancers = 4, .limits = {} });
    fixture.moveSlot(dispatch, slot, newTarget);
    const FlowKey key = flowInSlot(dispatch, slot);
    const auto order = fixture.cluster.order(0, dispatch, slot);
    const std::vector<std::size_t> unsettled { order[0], order[1] };
    const FlowRecord record {
        .target = newTarget, .service = dispatch, .slot = slot, .kind = FlowRecordKind::Confirmed
    };
    fixture.cluster.node(order[2]).flows->insert(key, key.hash(), record, fixture.clock.now());
    for (std::size_t view = 0; view < 4; ++view) {
        for (const std::size_t member : unsettled)
            fixture.cluster.setMember(view, member, false);
    }
    const RouteResult result = fixture.data(order[3], key);
    CHECK(result.target() == newTarget);
    CHECK(result.relays == 4);
    for (const std::size_t member : unsettled) {
        const auto copy = fixture.cluster.node(member).flows->find(key, key.hash());
        REQUIRE(copy);
        CHECK(copy->target == newTarget);
    }
}

TEST_CASE("SlotRouter delivers without loss while only some balancers know that the owner is leaving")
{
    RouterFixture fixture;
    fixture.moveSlot(dispatch, slot, newTarget);
    const FlowKey key = flowInSlot(dispatch, slot);
    const TargetId target = fixture.open(0, key).target();
    const auto order = fixture.cluster.order(0, dispatch, slot);
    fixture.cluster.node(order[0]).state.selfLeaving = true;
    fixture.cluster.removeMember(order[0], order[0]);
    const auto checkAll = [&](std::uint32_t number) {
        const FlowKey fresh = flowInSlot(dispatch, slot, number);
        for (const std::size_t balancer : order) {
            CHECK(fixture.data(balancer, key).target() == target);
            CHECK(fixture.open(balancer, fresh).target() == newTarget);
        }
    };
    checkAll(1);
    fixture.cluster.removeMember(order[2], order[0]);
    checkAll(2);
    fixture.cluster.removeMember(order[1], order[0]);
    checkAll(3);
    CHECK(fixture.cluster.node(order[2]).flows->find(
        flowInSlot(dispatch, slot, 3), flowInSlot(dispatch, slot, 3).hash()));
}

// Guards against a record created at the old owner after the new owner fetched the records.
TEST_CASE("SlotRouter relays a packet to the new owner when the slot's owner changes during the confirmation")
{
    RouterFixture fixture({ .balancers = 4, .limits = {} });
    fixture.moveSlot(dispatch, slot, newTarget);
    const auto order = fixture.cluster.order(0, dispatch, slot);
    const std::size_t joining = order[0];
    for (std::size_t view = 0; view < 4; ++view)
        fixture.cluster.removeMember(view, joining);
    const FlowKey key = flowInSlot(dispatch, slot);
    RouteResult result;
    PacketInTransit transit { .bytes = buildTcpPacket(key, { .syn = true }), .receiver = order[1], .header = {} };
    transit = *fixture.cluster.step(transit, fixture.clock.now(), result);
    REQUIRE(transit.header->purpose == RelayPurpose::Replicate);
    for (std::size_t view = 0; view < 4; ++view)
        fixture.cluster.setMember(view, joining, true);
    std::optional<PacketInTransit> next = transit;
    while (next)
        next = fixture.cluster.step(*next, fixture.clock.now(), result);
    CHECK(result.target() == newTarget);
    CHECK(result.relays <= 6);
    CHECK(fixture.cluster.node(joining).flows->find(key, key.hash()));
}

TEST_CASE("SlotRouter keeps the flows of the first target through a second and a third change of the slot")
{
    RouterFixture fixture;
    const FlowKey unrecorded = flowInSlot(dispatch, slot, 0);
    CHECK(fixture.open(0, unrecorded).target() == oldTarget);
    std::vector<std::pair<FlowKey, TargetId>> flows { { unrecorded, oldTarget } };
    std::uint32_t number = 1;
    const std::vector<TargetId> changes { newTarget, thirdTarget, TargetId(1) };
    TargetId current = oldTarget;
    for (const TargetId next : changes) {
        fixture.clock.advance(8s);
        fixture.table.announce(dispatch, slot, next);
        fixture.publishTable();
        const FlowKey announced = flowInSlot(dispatch, slot, number++);
        CHECK(fixture.open(1, announced).target() == current);
        flows.emplace_back(announced, current);
        fixture.clock.advance(2s);
        fixture.table.startMoving(dispatch, slot);
        fixture.publishTable();
        const FlowKey moving = flowInSlot(dispatch, slot, number++);
        CHECK(fixture.open(2, moving).target() == next);
        flows.emplace_back(moving, next);
        current = next;
        for (const auto& [key, target] : flows) {
            for (std::size_t balancer = 0; balancer < 3; ++balancer)
                CHECK(fixture.data(balancer, key).target() == target);
        }
    }
}

namespace {

// Whether late packets and a reused tuple of a closed flow are sent to the flow's target, and a reused tuple is dropped
// once that target is leaving.
bool closedFlowKeepsTarget(const SlotRouterOptions& options)
{
    RouterFixture fixture({ .router = options, .limits = {} });
    fixture.moveSlot(dispatch, slot, newTarget);
    const FlowKey key = flowInSlot(dispatch, slot);
    fixture.open(0, key);
    fixture.close(1, key);
    fixture.moveSlot(dispatch, slot, thirdTarget);
    for (std::size_t i = 0; i < 3; ++i)
        fixture.cluster.node(i).flows->expire(fixture.clock.now(), [](ServiceId) { return 300'000ms; });
    fixture.table.setLeaving(dispatch, newTarget);
    const bool lateKept = fixture.data(2, key).target() == newTarget;
    const bool reuseKept = fixture.open(1, key).target() == newTarget;
    fixture.close(0, key);
    fixture.publishTable();
    const bool lateKeptWhileLeaving = fixture.data(2, key).target() == newTarget;
    const bool reuseDropped = fixture.open(1, key).dropReason() == DropReason::ReusedTuple;
    return lateKept && reuseKept && lateKeptWhileLeaving && reuseDropped;
}

} // namespace

TEST_CASE("SlotRouter sends late packets and a reused tuple of a closed flow to the flow's target")
{
    CHECK(closedFlowKeepsTarget({}));
    CHECK_FALSE(closedFlowKeepsTarget({ .keepClosedRecords = false }));
}

// Guards against a closing packet that only the owner processes, so that the flow stays open at the backup.
TEST_CASE("SlotRouter closes and reopens a record at the backup as well")
{
    RouterFixture fixture;
    fixture.moveSlot(dispatch, slot, newTarget);
    const FlowKey key = flowInSlot(dispatch, slot);
    const std::size_t backup = fixture.cluster.order(0, dispatch, slot)[1];
    fixture.open(0, key);
    CHECK_FALSE(fixture.cluster.node(backup).flows->find(key, key.hash())->closed);
    fixture.close(0, key);
    CHECK(fixture.cluster.node(backup).flows->find(key, key.hash())->closed);
    fixture.open(0, key);
    CHECK_FALSE(fixture.cluster.node(backup).flows->find(key, key.hash())->closed);
}

// Guards against a packet that reaches the target of another service (requirement R2): an address moves from one
// service to another while balancers have different configuration versions.
TEST_CASE("SlotRouter never relays a packet to a target of another service")
{
    RouterFixture fixture;
    for (std::uint16_t index = 0; index < slotsPerService; ++index) {
        fixture.table.announce(dispatch, SlotIndex(index), TargetId(1 + index % 4));
        fixture.table.announce(photos, SlotIndex(index), TargetId(11 + index % 2));
    }
    fixture.publishTable();
    const auto& services = fixture.cluster.node(0).state.config->services();
    auto swapped = services;
    std::swap(swapped[0].addresses, swapped[1].addresses);
    const auto newer = std::make_shared<const ConfigSnapshot>(ConfigVersion(2), swapped);
    fixture.cluster.node(0).state.config = newer;
    fixture.cluster.apply(0);
    std::size_t delivered = 0;
    for (std::uint32_t number = 0; number < 500; ++number) {
        for (const ServiceId service : { dispatch, photos }) {
            const FlowKey key = flowOf(service, number);
            for (std::size_t balancer = 0; balancer < 3; ++balancer) {
                const RouteResult result = fixture.open(balancer, key);
                if (result.target() == TargetId())
                    continue;
                // The target belongs to the service in the configuration version of the first balancer.
                const auto& config = fixture.cluster.node(balancer).state.config;
                const ServiceId expected = config->findByAddress(key.serviceAddress())->id;
                const auto* slots = fixture.cluster.node(0).state.table->findService(expected);
                CHECK(slots->findTarget(result.target()) != nullptr);
                ++delivered;
            }
        }
    }
    CHECK(delivered > 500);
}

// Guards against refusing a request that may have run (requirement R4): only a settled owner may refuse, and only once
// the retransmission window has passed since the announcement.
TEST_CASE("SlotRouter refuses an opening packet over the limit only as settled owner 7 s after the announcement")
{
    RouterFixtureOptions options;
    options.limits = { .newFlowsPerSecond = 3 };
    RouterFixture fixture(options);
    const std::size_t owner = fixture.cluster.order(0, dispatch, slot)[0];
    const FlowKey stable = flowInSlot(dispatch, SlotIndex(6), 0);
    CHECK(fixture.open(owner, stable).target() != TargetId());
    CHECK(fixture.open(owner, flowInSlot(dispatch, SlotIndex(6), 1)).dropReason() == DropReason::NewFlowLimit);
    // A repeated opening packet of an admitted flow is not a new flow.
    CHECK(fixture.open(owner, stable).target() != TargetId());

    fixture.moveSlot(dispatch, slot, newTarget);
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.cluster.node(i).state.announcedAt[{ dispatch, slot }] = fixture.clock.now() - 6s;
        fixture.cluster.apply(i);
    }
    const FlowKey admitted = flowInSlot(dispatch, slot, 0);
    const FlowKey excess = flowInSlot(dispatch, slot, 1);
    CHECK(fixture.open(0, admitted).target() == newTarget);
    CHECK(fixture.open(0, excess).dropReason() == DropReason::NewFlowLimit);
    fixture.clock.advance(1s);
    CHECK(fixture.open(0, flowInSlot(dispatch, slot, 2)).target() == newTarget);
    CHECK(fixture.open(0, excess).refused());
    CHECK(fixture.open(0, admitted).target() == newTarget);
    CHECK(fixture.data(0, excess).target() == oldTarget);
    CHECK(refusals(fixture) == 1);

    for (std::size_t view = 0; view < 3; ++view)
        fixture.cluster.setMember(view, owner, false);
    CHECK(fixture.open(0, flowInSlot(dispatch, slot, 3)).dropReason() == DropReason::NewFlowLimit);
}

TEST_CASE("SlotRouter limits the open flows of a service")
{
    RouterFixtureOptions options;
    options.balancers = 1;
    options.limits = { .openFlows = 2 };
    RouterFixture fixture(options);
    CHECK(fixture.open(0, flowOf(dispatch, 0)).target() != TargetId());
    CHECK(fixture.open(0, flowOf(dispatch, 1)).target() != TargetId());
    CHECK(fixture.open(0, flowOf(dispatch, 2)).dropReason() == DropReason::OpenFlowLimit);
    fixture.close(0, flowOf(dispatch, 0));
    fixture.cluster.node(0).router->countOpenFlows();
    CHECK(fixture.open(0, flowOf(dispatch, 2)).target() != TargetId());
}

TEST_CASE("SlotRouter with a full flow table forwards stable slots and flows opened before a change")
{
    const bool ownerFull = GENERATE(true, false);
    RouterFixtureOptions options;
    options.flows = { .capacity = 16, .shards = 1 };
    RouterFixture fixture(options);
    fixture.moveSlot(dispatch, slot, newTarget);
    const auto order = fixture.cluster.order(0, dispatch, slot);
    const FlowKey known = flowInSlot(dispatch, slot, 0);
    CHECK(fixture.open(0, known).target() == newTarget);
    const std::size_t full = order[ownerFull ? 0 : 1];
    fillTable(fixture, full);

    CHECK(fixture.open(full, flowInSlot(dispatch, SlotIndex(6))).target() == TargetId(3));
    CHECK(fixture.data(0, known).target() == newTarget);
    const FlowKey older = flowInSlot(dispatch, slot, 1);
    CHECK(fixture.data(0, older).target() == oldTarget);
    CHECK(fixture.data(0, older).target() == oldTarget);
    // No target has received the new flow, so it is refused, or dropped within the retransmission window.
    const FlowKey fresh = flowInSlot(dispatch, slot, 2);
    CHECK(fixture.open(0, fresh).refused());
    for (std::size_t i = 0; i < 3; ++i)
        fixture.cluster.node(i).state.announcedAt[{ dispatch, slot }] = fixture.clock.now() - 6s;
    for (std::size_t i = 0; i < 3; ++i)
        fixture.cluster.apply(i);
    CHECK(fixture.open(0, fresh).dropReason() == DropReason::TableFull);
}

// Guards against a UDP flow that changes its target because a later packet is taken for the first one.
TEST_CASE("SlotRouter sends unknown UDP flows of a moving slot to the oldest target until the idle deadline")
{
    RouterFixture fixture;
    const SlotIndex udpSlot(4);
    CHECK(fixture.datagram(0, flowInSlot(telemetry, udpSlot, 0)).target() == TargetId(21));
    fixture.moveSlot(telemetry, udpSlot, TargetId(22));
    CHECK(fixture.datagram(1, flowInSlot(telemetry, udpSlot, 0)).target() == TargetId(21));
    fixture.clock.advance(299s - 8s);
    CHECK(fixture.datagram(1, flowInSlot(telemetry, udpSlot, 1)).target() == TargetId(21));
    fixture.clock.advance(2s);
    for (std::size_t balancer = 0; balancer < 3; ++balancer) {
        CHECK(fixture.datagram(balancer, flowInSlot(telemetry, udpSlot, 2)).target() == TargetId(22));
        CHECK(fixture.datagram(balancer, flowInSlot(telemetry, udpSlot, 1)).target() == TargetId(21));
    }
}

TEST_CASE("SlotRouter drops UDP packets without a reply where it refuses TCP")
{
    RouterFixtureOptions options;
    options.balancers = 1;
    options.limits = { .newFlowsPerSecond = 1 };
    RouterFixture fixture(options);
    const SlotIndex udpSlot(4);
    fixture.moveSlot(telemetry, udpSlot, TargetId(22));
    fixture.clock.advance(400s);
    CHECK(fixture.datagram(0, flowInSlot(telemetry, udpSlot, 0)).target() == TargetId(22));
    CHECK(fixture.datagram(0, flowInSlot(telemetry, udpSlot, 1)).dropReason() == DropReason::NewFlowLimit);
    CHECK(refusals(fixture) == 0);
}
