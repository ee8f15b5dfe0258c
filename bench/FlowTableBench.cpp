#include <anvilwalk/connection.h>

#include <benchmark/benchmark.h>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

namespace anvilwalk {

namespace {

    constexpr std::uint64_t benchSeed = 20261204;
    constexpr std::size_t benchShards = 64;

    FlowKey flowNumber(std::uint32_t number)
    {
        return { .source = { 0x0a000000U + number },
            .destination = { 0xcb00710aU },
            .sourcePort = static_cast<std::uint16_t>(1024 + number % 60'000),
            .destinationPort = 443,
            .protocol = Protocol::Tcp };
    }

    FlowRecord recordOfSlot(std::uint64_t hash)
    {
        return { .target = TargetId(1),
            .service = ServiceId(1),
            .slot = SlotIndex(static_cast<std::uint16_t>(hash % 1021)),
            .kind = FlowRecordKind::Confirmed };
    }

    struct FilledTable {
        std::unique_ptr<FlowTable> table;
        // Keys in random order, so that the processor's caches see the access pattern of real traffic.
        std::vector<FlowKey> shuffledKeys;
    };

    FilledTable fillTable(std::size_t flows)
    {
        FilledTable filled {
            .table = std::make_unique<FlowTable>(FlowTableOptions { .capacity = flows, .shards = benchShards }),
            .shuffledKeys = {},
        };
        const MonotonicTime now {};
        for (std::uint32_t number = 0; number < flows; ++number) {
            const FlowKey key = flowNumber(number);
            filled.table->insert(key, key.hash(), recordOfSlot(key.hash()), now);
            filled.shuffledKeys.push_back(key);
        }
        pcg32 random(benchSeed);
        for (std::size_t i = flows - 1; i > 0; --i)
            std::swap(filled.shuffledKeys[i], filled.shuffledKeys[random(static_cast<std::uint32_t>(i + 1))]);
        return filled;
    }

    void flowTableHit(benchmark::State& state)
    {
        FilledTable filled = fillTable(static_cast<std::size_t>(state.range(0)));
        const MonotonicTime now {};
        std::size_t next = 0;
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            const FlowKey& key = filled.shuffledKeys[next];
            next = next + 1 == filled.shuffledKeys.size() ? 0 : next + 1;
            benchmark::DoNotOptimize(filled.table->touch(key, key.hash(), PacketKind::Data, now));
        }
        state.counters["bytes_per_flow"]
            = static_cast<double>(filled.table->memoryBytes()) / static_cast<double>(filled.table->capacity());
    }

    void flowTableMiss(benchmark::State& state)
    {
        const FilledTable filled = fillTable(static_cast<std::size_t>(state.range(0)));
        const MonotonicTime now {};
        auto number = static_cast<std::uint32_t>(state.range(0));
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            const FlowKey key = flowNumber(++number);
            benchmark::DoNotOptimize(filled.table->touch(key, key.hash(), PacketKind::Data, now));
        }
    }

    // Time of one pass over all records, which the process makes once a second.
    void flowTableExpire(benchmark::State& state)
    {
        const FilledTable filled = fillTable(static_cast<std::size_t>(state.range(0)));
        const MonotonicTime now {};
        for (auto _ : state) // NOLINT(readability-identifier-naming)
            benchmark::DoNotOptimize(filled.table->expire(now, [](ServiceId) { return std::chrono::seconds(300); }));
    }

} // namespace

BENCHMARK(flowTableHit)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Arg(300'000)->Arg(1'000'000);
BENCHMARK(flowTableMiss)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Arg(300'000)->Arg(1'000'000);
BENCHMARK(flowTableExpire)->Arg(1'000)->Arg(100'000)->Arg(300'000)->Arg(1'000'000)->Unit(benchmark::kMillisecond);

} // namespace anvilwalk
