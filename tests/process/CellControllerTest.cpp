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
