#include <anvilwalk/placement.h>

#include <benchmark/benchmark.h>
#include <fakes/PlacementHarness.h>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;
    using fakes::PlacementHarness;

    constexpr std::uint32_t flowsPerTarget = 4;

    // A balancer with open flows at each target, one of them with a request in progress.
    void prepare(PlacementHarness& harness, std::uint32_t targets, bool shared)
    {
        for (std::uint64_t number = 0; number < targets; ++number)
            harness.put(fakes::targetRecord(number));
        std::uint32_t flow = 0;
        for (std::uint64_t number = 0; number < targets; ++number) {
            for (std::uint32_t count = 0; count < flowsPerTarget; ++count) {
                const FlowKey key = fakes::flowKey(++flow);
                harness.sendData(key, fakes::tokenOfTarget(number));
                harness.clock.advance(1us);
                if (count != 0)
                    harness.send({ .key = key, .token = fakes::tokenOfTarget(number), .acknowledgement = 500 });
            }
            harness.targets.find(fakes::tokenOfTarget(number))->shared
                = { .openFlows = 80, .requestsInProgress = 20, .responseTime = 40ms };
        }
        if (shared)
            harness.targets.setSharedLoad({ .fresh = true, .balancers = 20, .takenAt = harness.clock.now() });
        harness.clock.advance(500ms);
    }

    RouteTablePointer routesWithPriorities()
    {
        Route urgent { .name = "urgent",
            .address = fakes::boardAddress,
            .services = { { .service = fakes::boardService } },
            .kind = RouteKind::Download,
            .priority = 1 };
        Route other = urgent;
        other.address = fakes::photoAddress;
        other.priority = 2;
        return std::make_shared<const RouteTable>(ConfigVersion(2), std::vector { urgent, other }, 15s);
    }

    // A packet of an open flow that this balancer has a record of.
    void placementHit(benchmark::State& state)
    {
        PlacementHarness harness;
        const auto targets = static_cast<std::uint32_t>(state.range(0));
        prepare(harness, targets, true);
        std::uint32_t flow = 0;
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            const FlowToken token = fakes::tokenOfTarget(flow / flowsPerTarget);
            benchmark::DoNotOptimize(harness.sendData(fakes::flowKey(flow + 1), token));
            flow = flow + 1 == targets * flowsPerTarget ? 0 : flow + 1;
        }
    }

    // A choice alone: range(1) is whether there are shared figures.
    void placementChoice(benchmark::State& state)
    {
        PlacementHarness harness;
        prepare(harness, static_cast<std::uint32_t>(state.range(0)), state.range(1) != 0);
        const auto& targets = harness.targets.targetsOf(fakes::boardService);
        for (auto _ : state) // NOLINT(readability-identifier-naming)
            benchmark::DoNotOptimize(harness.chooser.choose(targets, {}, harness.clock.now()));
    }

    void placementAdmission(benchmark::State& state)
    {
        PlacementHarness harness;
        prepare(harness, static_cast<std::uint32_t>(state.range(0)), true);
        AdmissionController admission({ .dataCentre = DataCentreId("lima-a") });
        const RouteTablePointer routes = routesWithPriorities();
        admission.setRoutes(*routes);
        const auto& targets = harness.targets.targetsOf(fakes::boardService);
        for (auto _ : state) // NOLINT(readability-identifier-naming)
            benchmark::DoNotOptimize(admission.admit(routes->routes().back(), fakes::boardService, targets,
                harness.targets.sharedLoad(), harness.clock.now()));
    }

} // namespace

BENCHMARK(placementHit)->Arg(30)->Arg(1'000);
BENCHMARK(placementChoice)->ArgsProduct({ { 30, 1'000 }, { 0, 1 } });
BENCHMARK(placementAdmission)->Arg(30)->Arg(1'000);

} // namespace anvilwalk
