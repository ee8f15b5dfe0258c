#include "CellScenario.h"

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

TEST_CASE("A balancer that starts alone writes the first table and routes by it")
{
    forEachSeed([](std::uint64_t seed) {
        CellHarness cell(seed);
        cell.publish({ dispatchService() });
        cell.setVmList(targetVms(14));
        cell.start("a");
        REQUIRE(cell.runUntil([&] { return cell.allShow(TableVersion(1)); }, 3s));
        const auto state = cell.balancer("a").controller->routingState();
        CHECK(state->table->findService(ServiceId(1))->slots.size() == slotsPerService);
        CHECK(state->table->findService(ServiceId(1))->exceptions.empty());
        CHECK(cell.balancer("a").controller->ready(cell.now()));
        CHECK(cell.balancer("a").controller->isTableWriter());
    });
}

TEST_CASE("Three balancers that start together settle and use one table")
{
    forEachSeed([](std::uint64_t seed) {
        CellHarness cell(seed);
        cell.publish({ dispatchService() });
        cell.setVmList(targetVms(14));
        for (const char* name : { "a", "b", "c" })
            cell.start(name);
        REQUIRE(cell.runUntil([&] { return cell.allSettled() && cell.allShow(TableVersion(1)); }, 10s));
        cell.run(3s);
        CHECK(cell.store.written.size() == 1);
        CHECK(cell.routing().size() == 3);
    });
}

// Guards against heartbeats that use up the 4 KB/s which each balancer has for control traffic.
TEST_CASE("Heartbeats of nine balancers stay below 4 KB/s each")
{
    CellHarness cell(1);
    cell.publish({ dispatchService() });
    cell.setVmList(targetVms(14));
    for (int i = 1; i <= 9; ++i)
        cell.start("lima-a-" + std::to_string(i));
    REQUIRE(cell.runUntil([&] { return cell.allSettled() && cell.allShow(TableVersion(1)); }, 20s));
    cell.run(5s);
    std::uint64_t before = 0;
    for (const auto& [name, balancer] : cell.balancers())
        before += balancer->heartbeatBytes;
    cell.run(30s);
    std::uint64_t after = 0;
    std::uint64_t largest = 0;
    for (const auto& [name, balancer] : cell.balancers()) {
        after += balancer->heartbeatBytes;
        largest = std::max(largest, balancer->largestHeartbeat);
    }
    const std::uint64_t bytesPerSecond = (after - before) / 9 / 30;
    WARN("Heartbeats: " << bytesPerSecond << " B/s a balancer, largest " << largest << " B.");
    CHECK(bytesPerSecond <= 4096);
}
