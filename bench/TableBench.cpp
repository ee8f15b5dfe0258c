#include <anvilwalk/version.h>

#include <benchmark/benchmark.h>
#include <string>

namespace anvilwalk {

namespace {

    table::TableSet tableWithTargets(std::uint32_t targets)
    {
        table::TableSet set;
        set.set_version(1);
        set.set_data_centre("lima-a");
        table::ServiceTable* service = set.add_services();
        service->set_service(1);
        for (std::uint32_t id = 1; id <= targets; ++id) {
            table::TargetEntry* target = service->add_targets();
            target->set_id(id);
            target->set_host("dispatch-" + std::to_string(id));
            target->set_tunnel_address("10." + std::to_string(id >> 16) + "." + std::to_string((id >> 8) & 0xff) + "."
                + std::to_string(id & 0xff) + ":5555");
            target->set_health_url("http://10.0.0.1:8080/health");
            target->set_weight(1000);
        }
        for (std::uint32_t slot = 0; slot < slotsPerService; ++slot)
            service->add_slots(1 + slot % targets);
        return set;
    }

    // Time and bytes to turn a table message into the form that packets are routed by.
    void tableBuild(benchmark::State& state)
    {
        const table::TableSet set = tableWithTargets(static_cast<std::uint32_t>(state.range(0)));
        for (auto _ : state) // NOLINT(readability-identifier-naming)
            benchmark::DoNotOptimize(TableSnapshot::fromMessage(set));
        state.counters["message_bytes"] = static_cast<double>(set.ByteSizeLong());
    }

    void tableParse(benchmark::State& state)
    {
        const std::string bytes = tableWithTargets(static_cast<std::uint32_t>(state.range(0))).SerializeAsString();
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            table::TableSet set;
            benchmark::DoNotOptimize(set.ParseFromString(bytes));
        }
    }

} // namespace

BENCHMARK(tableBuild)->Arg(4)->Arg(14)->Arg(100)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(tableParse)->Arg(4)->Arg(14)->Arg(100)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

} // namespace anvilwalk
