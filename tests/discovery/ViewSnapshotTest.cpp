#include <anvilwalk/discovery.h>
#include <fakes/PlacementHarness.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

ViewSnapshot sampleView()
{
    TargetRecord draining = targetRecord(8, photoService, "lima-b", TargetState::Draining);
    draining.coldRemaining = 700ms;
    return { .routes = routeTable(7),
        .targets = { { .record = targetRecord(5), .version = StoreVersion(41), .readVersion = StoreVersion(41) },
            { .record = draining,
                .version = StoreVersion(42),
                .readVersion = StoreVersion(47),
                .presence = TargetPresence::Missing } },
        .complete = false,
        .targetsVersion = StoreVersion(50),
        .targetsAge = 1200ms,
        .evacuations = EvacuationStatus { .version = StoreVersion(49),
            .lastChange = StoreVersion(45),
            .age = 300ms,
            .dataCentres = { DataCentreId("lima-b"), DataCentreId("lima-c") } } };
}

} // namespace

TEST_CASE("A view is unchanged by encoding and decoding")
{
    const auto decoded = decodeView(encodeView(sampleView()));
    REQUIRE(isOk(decoded));
    const ViewSnapshot& view = valueOf(decoded);
    CHECK(view.targetsVersion == StoreVersion(50));
    CHECK(view.targetsAge == 1200ms);
    CHECK_FALSE(view.complete);
    CHECK(view.routes->version() == ConfigVersion(7));
    CHECK(view.routes->idleTimeout() == 15s);
    REQUIRE(view.routes->find(photoAddress) != nullptr);
    CHECK(view.routes->find(photoAddress)->services.at(0).service == photoService);
    REQUIRE(view.targets.size() == 2);
    const TargetRecord& draining = view.targets[1].record;
    const TargetRecord expected = targetRecord(8, photoService, "lima-b");
    CHECK(view.targets[1].version == StoreVersion(42));
    CHECK(view.targets[1].readVersion == StoreVersion(47));
    CHECK(view.targets[1].presence == TargetPresence::Missing);
    CHECK(draining.name == expected.name);
    CHECK(tokenOf(draining.key) == tokenOfTarget(8));
    CHECK(draining.startedMs == expected.startedMs);
    CHECK(draining.address == expected.address);
    CHECK(draining.dataCentre == expected.dataCentre);
    CHECK(draining.slots == expected.slots);
    CHECK(draining.state == TargetState::Draining);
    CHECK(draining.coldRemaining == 700ms);
    CHECK(view.evacuations == sampleView().evacuations);
}

// Guards against routes that lose their priority or limits on the way to a balancer that cannot read the store.
TEST_CASE("A view passes on what routes carry and the warm-up limits")
{
    ViewSnapshot sample = sampleView();
    const Route route { .name = "downloads",
        .address = photoAddress,
        .services = { { .service = photoService, .weight = 3 } },
        .kind = RouteKind::Download,
        .priority = 2,
        .latencyTarget = 1500ms,
        .timeout = 10s };
    sample.routes = std::make_shared<const RouteTable>(ConfigVersion(7), std::vector { route }, 15s,
        std::vector<WarmUpLimit> { { .service = photoService, .flowsPerSecond = 2.5 } });
    const auto decoded = decodeView(encodeView(sample));
    REQUIRE(isOk(decoded));
    const RouteTable& routes = *valueOf(decoded).routes;
    const Route* found = routes.find(photoAddress);
    REQUIRE(found != nullptr);
    CHECK(found->kind == RouteKind::Download);
    CHECK(found->priority == 2);
    CHECK(found->latencyTarget == 1500ms);
    CHECK(found->timeout == 10s);
    CHECK(routes.sharesLoad());
    CHECK_FALSE(routes.hasPriorities());
    REQUIRE(routes.warmUpLimits().size() == 1);
    CHECK(routes.warmUpLimits()[0].flowsPerSecond == 2.5);
}

TEST_CASE("A view without routes is unchanged by encoding and decoding")
{
    ViewSnapshot sample = sampleView();
    sample.routes = nullptr;
    const auto decoded = decodeView(encodeView(sample));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).routes == nullptr);
    CHECK(valueOf(decoded).targets.size() == 2);
}

// Guards against a partially applied view from a peer of another release, or from a server that is not a peer.
TEST_CASE("decodeView rejects a view with a missing or invalid field")
{
    const auto whole = nlohmann::json::parse(encodeView(sampleView()));
    for (const auto& [name, value] : whole.items()) {
        auto without = whole;
        without.erase(name);
        INFO("without " << name);
        CHECK_FALSE(isOk(decodeView(without.dump())));
        auto other = whole;
        other[name] = "?";
        CHECK_FALSE(isOk(decodeView(other.dump())));
    }
    for (const auto& [name, value] : whole["targets"][0].items()) {
        auto without = whole;
        without["targets"][0].erase(name);
        INFO("target without " << name);
        CHECK_FALSE(isOk(decodeView(without.dump())));
    }
    for (const auto& [name, value] : whole["evacuations"].items()) {
        auto without = whole;
        without["evacuations"].erase(name);
        INFO("evacuations without " << name);
        CHECK_FALSE(isOk(decodeView(without.dump())));
    }
    for (const auto& [name, value] : whole["config"]["routes"][0].items()) {
        auto without = whole;
        without["config"]["routes"][0].erase(name);
        INFO("route without " << name);
        CHECK_FALSE(isOk(decodeView(without.dump())));
    }
    auto newer = whole;
    newer["format"] = 4;
    CHECK_FALSE(isOk(decodeView(newer.dump())));
    for (const char* text : { "", "{", "[]", "null", "7" })
        CHECK_FALSE(isOk(decodeView(text)));
}

// Guards against a crash on corrupted input.
TEST_CASE("decodeView returns a view or an error for any changed byte")
{
    const std::string text = encodeView(sampleView());
    CHECK(rc::check("changed byte", [&] {
        std::string changed = text;
        changed[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = decodeView(changed);
        // No single byte turns the routes into null.
        if (isOk(decoded))
            RC_ASSERT(valueOf(decoded).routes != nullptr);
    }));
}
