#include <anvilwalk-edge/RoutingView.h>
#include <fakes/PlacementHarness.h>
#include <fakes/RecordedLines.h>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

const DataCentreId limaA { "lima-a" };
const DataCentreId limaB { "lima-b" };
const DataCentreId limaC { "lima-c" };

constexpr std::chrono::milliseconds maxAge = 4000ms;

Member member(std::uint64_t startedMs)
{
    return { .id = BalancerId("front-" + std::to_string(startedMs)),
        .dataCentre = limaA,
        .viewAddress = {},
        .startedMs = startedMs };
}

std::vector<StoreEntry> entriesOf(const std::vector<DataCentreId>& dataCentres)
{
    std::vector<StoreEntry> entries;
    entries.reserve(dataCentres.size());
    for (const DataCentreId& dataCentre : dataCentres)
        entries.push_back({ .name = dataCentre.value(), .version = StoreVersion(5), .content = {}, .error = {} });
    return entries;
}

struct Fixture {
    PlacementHarness placement;
    RecordedLines lines;
    EventLog log { EventLogOptions {}, lines, placement.clock };
    MemberList members { MemberListOptions {}, member(9) };
    EvacuationView view { { .maxAge = maxAge }, placement.targets, members, log, placement.clock };

    Fixture()
    {
        placement.put(targetRecord(1, boardService, limaA.value()));
        placement.put(targetRecord(2, boardService, limaB.value()));
        placement.put(targetRecord(3, boardService, limaC.value()));
    }

    void list(const std::vector<DataCentreId>& dataCentres, std::uint64_t version, StoreEra era = StoreEra(0))
    {
        view.onEvacuations(
            entriesOf(dataCentres), { .version = makeStoreVersion(era, version), .currentAt = placement.clock.now() });
    }
    void listStale(const std::vector<DataCentreId>& dataCentres, std::uint64_t version)
    {
        view.onEvacuations(entriesOf(dataCentres), { .version = StoreVersion(version), .currentAt = {} });
    }
    EvacuationStatus statusOf(const std::vector<DataCentreId>& dataCentres, std::uint64_t version, Duration age)
    {
        return { .version = StoreVersion(version),
            .lastChange = StoreVersion(version),
            .age = age,
            .dataCentres = dataCentres };
    }
    // The targets that get new flows.
    std::vector<FlowToken> placements()
    {
        std::vector<FlowToken> tokens;
        for (std::uint32_t number = 0; number < 200; ++number) {
            const auto token = placement.open(flowKey(number));
            if (token && std::find(tokens.begin(), tokens.end(), *token) == tokens.end())
                tokens.push_back(*token);
        }
        return tokens;
    }
};

} // namespace

// Guards against new flows at the targets of an evacuated data centre, and against open flows that are moved away.
TEST_CASE("Targets of an evacuated data centre keep their flows and get no new ones")
{
    Fixture fixture;
    fixture.list({}, 10);
    CHECK(fixture.placements().size() == 3);
    fixture.list({ limaA }, 11);
    const auto tokens = fixture.placements();
    CHECK(std::find(tokens.begin(), tokens.end(), tokenOfTarget(1)) == tokens.end());
    CHECK(tokens.size() == 2);
    const Decision decision = fixture.placement.sendData(flowKey(1), tokenOfTarget(1));
    CHECK(std::holds_alternative<ForwardToTarget>(decision));
    fixture.list({}, 12);
    CHECK(fixture.placements().size() == 3);
}

// Guards against clients that wait for their timeout although no target may serve them.
TEST_CASE("New flows are reset at once while all data centres are evacuated")
{
    Fixture fixture;
    fixture.list({ limaA, limaB, limaC }, 10);
    const Decision decision = fixture.placement.send({ .key = flowKey(1), .kind = PacketKind::Opening });
    const auto* reset = std::get_if<ResetFlow>(&decision);
    REQUIRE(reset != nullptr);
    CHECK(reset->reason == DropReason::NoTarget);
}

// Guards against an evacuation that a restarted or new target escapes.
TEST_CASE("A target that starts in an evacuated data centre gets no new flows")
{
    Fixture fixture;
    fixture.list({ limaA }, 10);
    fixture.placement.put(targetRecord(4, boardService, limaA.value()));
    const auto tokens = fixture.placements();
    CHECK(std::find(tokens.begin(), tokens.end(), tokenOfTarget(4)) == tokens.end());
}

// Guards against an evacuation that is missed because its entry was damaged by another writer.
TEST_CASE("An entry counts by its name, whatever its content")
{
    Fixture fixture;
    StoreEntry damaged { .name = "lima-b", .version = StoreVersion(4), .content = {}, .error = "cannot be decoded" };
    StoreEntry unnamed { .name = "", .version = StoreVersion(4), .content = {}, .error = "not an object" };
    fixture.view.onEvacuations(
        { damaged, unnamed }, { .version = StoreVersion(9), .currentAt = fixture.placement.clock.now() });
    CHECK(fixture.view.dataCentres() == std::vector { limaB });
}

// Guards against evacuations that are older than the bound: stale reads and relays may be behind.
TEST_CASE("A list is confirmed by the current answer whose version it includes")
{
    Fixture fixture;
    CHECK(fixture.view.needsStaleRead());
    fixture.listStale({}, 20);
    CHECK_FALSE(fixture.view.needsStaleRead());
    fixture.placement.clock.advance(1s);
    fixture.view.recordCurrentAnswer({ .version = StoreVersion(25), .currentAt = fixture.placement.clock.now() });
    CHECK(fixture.view.needsStaleRead());
    // The replica that answers is behind.
    fixture.listStale({}, 24);
    CHECK(fixture.view.needsStaleRead());
    CHECK(fixture.view.untilCurrentRead() == maxAge - 1s);
    fixture.placement.clock.advance(200ms);
    fixture.listStale({ limaC }, 25);
    CHECK_FALSE(fixture.view.needsStaleRead());
    CHECK(fixture.view.untilCurrentRead() == maxAge - 200ms);
    CHECK(fixture.view.dataCentres() == std::vector { limaC });
    fixture.placement.clock.advance(maxAge);
    CHECK(fixture.view.untilCurrentRead() <= 0s);
    fixture.list({ limaC }, 26);
    CHECK(fixture.view.untilCurrentRead() == maxAge);
}

// Guards against a relay that takes an evacuation back because it is behind, and against ages that start again with
// each balancer that passes a list on.
TEST_CASE("A list of another balancer is adopted with its age, unless it is older")
{
    Fixture fixture;
    fixture.view.adopt(fixture.statusOf({ limaA }, 30, 900ms), fixture.placement.clock.now());
    CHECK(fixture.view.dataCentres() == std::vector { limaA });
    CHECK(fixture.view.age() == 900ms);
    fixture.view.adopt(fixture.statusOf({}, 29, 0ms), fixture.placement.clock.now());
    CHECK(fixture.view.dataCentres() == std::vector { limaA });
    CHECK(fixture.view.age() == 900ms);
    fixture.view.adopt(fixture.statusOf({}, 31, 100ms), fixture.placement.clock.now());
    CHECK(fixture.view.dataCentres().empty());
    CHECK(fixture.view.lastChange() == StoreVersion(31));
    const auto status = fixture.view.status();
    REQUIRE(status);
    CHECK(status->age == 100ms);
}

// Guards against an evacuation that ends because the store was restored from a copy made before it was requested.
TEST_CASE("Evacuations that a restored store lacks stay in force until they can have been written again")
{
    Fixture fixture;
    fixture.list({ limaA }, 50);
    fixture.list({}, 40, StoreEra(1));
    CHECK(fixture.view.dataCentres() == std::vector { limaA });
    fixture.placement.clock.advance(1s);
    fixture.list({ limaA, limaB }, 45, StoreEra(1));
    CHECK(fixture.view.dataCentres() == std::vector { limaA, limaB });
    // An answer from before the restore that was delayed.
    fixture.list({ limaC }, 60, StoreEra(0));
    CHECK(fixture.view.dataCentres() == std::vector { limaA, limaB });
    fixture.placement.clock.advance(10s);
    fixture.list({ limaB }, 46, StoreEra(1));
    CHECK(fixture.view.dataCentres() == std::vector { limaB });
}

// Guards against a balancer that becomes ready, and takes flows, before it knows which data centres are evacuated.
TEST_CASE("A view that follows evacuations is complete only when it knows them")
{
    Fixture fixture;
    FlowTracker flows { FlowTrackerOptions {}, fixture.placement.targets };
    TokenRouter router { TokenRouterOptions {}, fixture.placement.targets, flows, fixture.placement.chooser };
    RoutingView view { { .evacuations = { .maxAge = maxAge } }, fixture.placement.targets, router, fixture.members,
        fixture.log, fixture.placement.clock };
    int completions = 0;
    view.onComplete([&] { ++completions; });
    ViewSnapshot snapshot { .routes = routeTable(1), .targets = {}, .targetsVersion = StoreVersion(8) };
    view.onPeerView(snapshot, {});
    CHECK_FALSE(view.isComplete());
    snapshot.evacuations = fixture.statusOf({ limaB }, 8, 100ms);
    view.onPeerView(snapshot, {});
    CHECK(view.isComplete());
    CHECK(completions == 1);
    CHECK(view.snapshot().evacuations->dataCentres == std::vector { limaB });
}

// Guards against heartbeats that do not fit into a datagram.
TEST_CASE("A list that is too long for a heartbeat is not passed on")
{
    Fixture fixture;
    constexpr int count = 100;
    std::vector<DataCentreId> many;
    many.reserve(count);
    for (int number = 0; number < count; ++number)
        many.emplace_back("data-centre-" + std::to_string(number));
    fixture.list(many, 10);
    CHECK(fixture.view.isKnown());
    CHECK_FALSE(fixture.view.status());
}
