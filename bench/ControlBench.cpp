#include <anvilwalk/process.h>

#include <benchmark/benchmark.h>
#include <fakes/ControlHarness.h>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t benchSeed = 20261204;
    constexpr auto settleLimit = 60s;
    constexpr auto simulatedStep = 1000ms;

    ServiceConfig serviceNumber(std::uint32_t number)
    {
        ServiceConfig service;
        service.id = ServiceId(number);
        service.name = ServiceName("cordeles/service-" + std::to_string(number));
        service.addresses = { { .address = { 0xcb007100U + number }, .port = 443, .protocol = Protocol::Tcp } };
        return service;
    }

    VmEntry targetNumber(std::uint32_t service, std::uint32_t number)
    {
        VmEntry entry;
        entry.name = "host-" + std::to_string(service) + "-" + std::to_string(number);
        entry.service = ServiceName("cordeles/service-" + std::to_string(service));
        entry.tunnel = { .address = { 0x0a000000U + service * 256 + number }, .port = 5555 };
        return entry;
    }

    // A cell with balancers, services and targets that has settled. Null if it does not settle.
    std::unique_ptr<fakes::ControlHarness> settledCell(
        std::int64_t balancers, std::uint32_t services, std::uint32_t targetsPerService)
    {
        auto cell = std::make_unique<fakes::ControlHarness>(benchSeed);
        std::vector<ServiceConfig> configs;
        std::vector<VmEntry> targets;
        for (std::uint32_t service = 1; service <= services; ++service) {
            configs.push_back(serviceNumber(service));
            for (std::uint32_t target = 1; target <= targetsPerService; ++target)
                targets.push_back(targetNumber(service, target));
        }
        cell->publish(configs);
        cell->setVmList(targets);
        for (std::int64_t number = 1; number <= balancers; ++number)
            cell->start("lima-a-lb" + std::to_string(number));
        const bool settled = cell->runUntil(
            [&] {
                return cell->allSettled() && cell->newestTable() && cell->allApplied(cell->newestTable()->version());
            },
            settleLimit);
        return settled ? std::move(cell) : nullptr;
    }

    std::uint64_t heartbeatBytes(const fakes::ControlHarness& cell)
    {
        std::uint64_t bytes = 0;
        for (const auto& [name, balancer] : cell.balancers())
            bytes += balancer->heartbeatBytes;
        return bytes;
    }

    // One second of control at rest for a whole cell. The time includes the harness, so that it is an upper bound.
    void cellAtRest(benchmark::State& state)
    {
        const auto cell = settledCell(state.range(0), 4, 9);
        if (!cell) {
            state.SkipWithError("The cell did not settle.");
            return;
        }
        const std::uint64_t bytesBefore = heartbeatBytes(*cell);
        for (auto _ : state) // NOLINT(readability-identifier-naming)
            cell->run(simulatedStep);
        const auto balancerSeconds = static_cast<double>(state.iterations() * state.range(0));
        const auto bytes = static_cast<double>(heartbeatBytes(*cell) - bytesBefore);
        state.counters["bytes_per_balancer_second"] = bytes / balancerSeconds;
        state.counters["seconds_per_balancer_second"]
            = benchmark::Counter(balancerSeconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    }

    // Size of a table that a balancer fetches from a peer, by number of services.
    void tableTransfer(benchmark::State& state)
    {
        const auto cell = settledCell(3, static_cast<std::uint32_t>(state.range(0)), 9);
        if (!cell) {
            state.SkipWithError("The cell did not settle.");
            return;
        }
        const table::TableSet set = cell->newestTable()->message();
        for (auto _ : state) // NOLINT(readability-identifier-naming)
            benchmark::DoNotOptimize(set.SerializeAsString());
        state.counters["table_bytes"] = static_cast<double>(set.ByteSizeLong());
    }

    // Size and time of the records that a balancer hands over, by number of records.
    void recordHandOver(benchmark::State& state)
    {
        FlowTable flows({ .capacity = static_cast<std::size_t>(state.range(0)), .shards = 64 });
        const MonotonicTime now(1000s);
        for (std::uint32_t number = 0; number < state.range(0); ++number) {
            const FlowKey key { .source = { 0x0a000000U + number },
                .destination = { 0xcb007101U },
                .sourcePort = static_cast<std::uint16_t>(1024 + number % 60'000),
                .destinationPort = 443,
                .protocol = Protocol::Tcp };
            const FlowRecord record { .target = TargetId(7),
                .service = ServiceId(1),
                .slot = slotOf(key.hash()),
                .kind = FlowRecordKind::Confirmed };
            flows.assign(key, key.hash(), record, now);
        }
        std::size_t bytes = 0;
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            peer::PushRecordsRequest request;
            for (peer::FlowRecordEntry& entry : FlowRecordCodec::confirmedRecords(
                     flows, [](ServiceId, SlotIndex) { return true; }, now))
                *request.add_records() = std::move(entry);
            bytes = request.SerializeAsString().size();
        }
        state.counters["bytes_per_record"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
    }

} // namespace

BENCHMARK(cellAtRest)->Arg(3)->Arg(5)->Arg(9)->Arg(16)->Unit(benchmark::kMillisecond);
BENCHMARK(tableTransfer)->Arg(1)->Arg(4)->Arg(16)->Arg(53)->Unit(benchmark::kMicrosecond);
BENCHMARK(recordHandOver)->Arg(100)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMicrosecond);

} // namespace anvilwalk
