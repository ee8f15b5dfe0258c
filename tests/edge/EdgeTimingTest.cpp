#include <anvilwalk-edge/EdgeTiming.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

EdgeSettings settingsWith(std::chrono::milliseconds bound, std::chrono::milliseconds stableWindow)
{
    EdgeSettings settings;
    settings.configBound = bound;
    settings.drainBound = bound;
    settings.stableWindow = stableWindow;
    return settings;
}

} // namespace

// Guards against a dropped route or a leaving target that is used beyond its bound: a connection that goes silent
// counts as a disturbance of its moment only, so the bounds hold again after the stable window.
TEST_CASE("A silent connection is noticed and replaced within the stable window")
{
    for (const auto stableWindow : { 3000ms, 4000ms, 5000ms, 6000ms, 20'000ms }) {
        const auto wait = watchWaitOf(settingsWith(3000ms, stableWindow));
        // The retry after a failed call and the list take a moment.
        CHECK(wait + storeCallTimeout + 500ms <= stableWindow);
    }
    CHECK(watchWaitOf(settingsWith(3000ms, 1000ms)) > 0ms);
}

// Guards against old targets or routes beyond the bound when relays fall silent or stale reads lie behind.
TEST_CASE("The limits on the age of a view leave time to read the store within the bounds")
{
    for (const auto bound : { 1000ms, 3000ms, 5000ms, 6000ms, 13'000ms }) {
        const RoutingViewOptions options = viewOptionsOf(settingsWith(bound, 4000ms));
        CHECK(options.maxTargetsAge + 500ms <= bound);
        CHECK(options.maxRelayAge + 500ms <= bound);
        CHECK(options.maxRelayAge <= options.maxTargetsAge);
        CHECK(options.relayMargin < options.maxRelayAge);
    }
    EdgeSettings settings = settingsWith(5000ms, 4000ms);
    settings.drainBound = 3000ms;
    CHECK(viewOptionsOf(settings).maxTargetsAge == 2500ms);
    CHECK(viewOptionsOf(settings).maxRelayAge == 1500ms);
}

// Guards against new flows in an evacuated data centre beyond the bound when all relays are silent, and against reads
// of evacuations where operators do not evacuate data centres.
TEST_CASE("The limit on the age of evacuations leaves time to read them within the bound")
{
    CHECK_FALSE(viewOptionsOf(settingsWith(3000ms, 4000ms)).evacuations.maxAge);
    for (const auto bound : { 1000ms, 3000ms, 5000ms, 6000ms, 13'000ms }) {
        EdgeSettings settings = settingsWith(3000ms, 4000ms);
        settings.evacuationBound = bound;
        const EvacuationViewOptions options = viewOptionsOf(settings).evacuations;
        REQUIRE(options.maxAge);
        CHECK(*options.maxAge + 500ms <= bound);
        CHECK(options.relayMargin < *options.maxAge);
    }
}
