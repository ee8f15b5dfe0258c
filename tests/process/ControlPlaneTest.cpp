#include "ControlScenario.h"

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

TEST_CASE("A balancer that starts alone writes the first table and routes with it")
{
    forEachSeed([](std::uint64_t seed) {
        ControlHarness harness(seed);
        harness.publish({ dispatchService() });
        harness.setVmList(targetVms(14));
        harness.start("a");
        REQUIRE(harness.runUntil([&] { return harness.allApplied(TableVersion(1)); }, 3s));
        const auto state = harness.balancer("a").controlPlane->routingState();
        CHECK(state->table->findService(ServiceId(1))->slots.size() == slotsPerService);
        CHECK(state->table->findService(ServiceId(1))->exceptions.empty());
        CHECK(harness.balancer("a").controlPlane->ready(harness.now()));
        CHECK(harness.balancer("a").controlPlane->isTableWriter());
    });
}

TEST_CASE("Three balancers that start together settle and use the same table")
{
    forEachSeed([](std::uint64_t seed) {
        ControlHarness harness(seed);
        harness.publish({ dispatchService() });
        harness.setVmList(targetVms(14));
        for (const char* name : { "a", "b", "c" })
            harness.start(name);
        REQUIRE(harness.runUntil([&] { return harness.allSettled() && harness.allApplied(TableVersion(1)); }, 10s));
        harness.run(3s);
        CHECK(harness.store.written.size() == 1);
        CHECK(harness.routing().size() == 3);
    });
}

// Guards against heartbeats that exceed the control traffic budget of 4 KB/s for each balancer.
TEST_CASE("Heartbeats of nine balancers stay below 4 KB/s each")
{
    ControlHarness harness(1);
    harness.publish({ dispatchService() });
    harness.setVmList(targetVms(14));
    for (int i = 1; i <= 9; ++i)
        harness.start("lima-a-" + std::to_string(i));
    REQUIRE(harness.runUntil([&] { return harness.allSettled() && harness.allApplied(TableVersion(1)); }, 20s));
    harness.run(5s);
    std::uint64_t before = 0;
    for (const auto& [name, balancer] : harness.balancers())
        before += balancer->heartbeatBytes;
    harness.run(30s);
    std::uint64_t after = 0;
    std::uint64_t largest = 0;
    for (const auto& [name, balancer] : harness.balancers()) {
        after += balancer->heartbeatBytes;
        largest = std::max(largest, balancer->largestHeartbeat);
    }
    const std::uint64_t bytesPerSecond = (after - before) / 9 / 30;
    WARN("Heartbeats: " << bytesPerSecond << " B/s a balancer, largest " << largest << " B.");
    CHECK(bytesPerSecond <= 4096);
}
