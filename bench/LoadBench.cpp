#include <anvilwalk/load.h>
#include <fakes/PlacementHarness.h>

#include <benchmark/benchmark.h>
#include <string>
#include <vector>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t balancers = 28;

    LoadMessageHeader headerOf(std::uint32_t balancer, std::uint64_t sequence)
    {
        return { .sender = BalancerId("front-lima-a-" + std::to_string(balancer)),
            .dataCentre = DataCentreId("lima-a"),
            .sequence = sequence };
    }

    LoadReport reportOf(std::int64_t targets)
    {
        LoadReport report { .header = headerOf(1, 1), .targets = {} };
        for (std::int64_t number = 1; number <= targets; ++number)
            report.targets.push_back({ .token = fakes::tokenOfTarget(static_cast<std::uint64_t>(number)),
                .openFlows = 30,
                .requestsInProgress = 4,
                .responses = 50,
                .responseTimeSum = 2s });
        return report;
    }

    LoadSummary summaryOf(std::int64_t targets)
    {
        LoadSummary summary { .header = headerOf(1, 1), .age = 500ms, .balancers = balancers, .targets = {} };
        for (std::int64_t number = 1; number <= targets; ++number)
            summary.targets.push_back({ .token = fakes::tokenOfTarget(static_cast<std::uint64_t>(number)),
                .openFlows = 800,
                .requestsInProgress = 100,
                .answeredBalancers = balancers,
                .responseTime = 40ms });
        return summary;
    }

    void fillCatalogue(TargetCatalogue& catalogue, std::int64_t targets)
    {
        for (std::int64_t number = 1; number <= targets; ++number) {
            const auto target = static_cast<std::uint64_t>(number);
            catalogue.put(fakes::targetRecord(target), StoreVersion(target), MonotonicTime(1000s));
        }
    }

    template <class Message> void encode(benchmark::State& state, const Message& message)
    {
        std::size_t bytes = 0;
        std::size_t parts = 0;
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            const std::vector<std::string> encoded = encodeLoadMessage(message);
            parts = encoded.size();
            bytes = 0;
            for (const std::string& part : encoded)
                bytes += part.size();
        }
        state.counters["bytes"] = static_cast<double>(bytes);
        state.counters["parts"] = static_cast<double>(parts);
    }

    template <class Message> void decode(benchmark::State& state, const Message& message)
    {
        const std::vector<std::string> encoded = encodeLoadMessage(message);
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            for (const std::string& part : encoded)
                benchmark::DoNotOptimize(decodeLoadMessage(part));
        }
    }

    void loadReportEncode(benchmark::State& state) { encode(state, reportOf(state.range(0))); }
    void loadReportDecode(benchmark::State& state) { decode(state, reportOf(state.range(0))); }
    void loadSummaryEncode(benchmark::State& state) { encode(state, summaryOf(state.range(0))); }
    void loadSummaryDecode(benchmark::State& state) { decode(state, summaryOf(state.range(0))); }

    // Work of a collector in one second: the reports of all balancers are decoded and summed, the summary encoded.
    void loadCollectorSecond(benchmark::State& state)
    {
        TargetCatalogue catalogue { TargetCatalogueOptions {} };
        fillCatalogue(catalogue, state.range(0));
        LoadCollector collector({}, catalogue);
        LoadReport report = reportOf(state.range(0));
        MonotonicTime now { 1000s };
        std::uint64_t sequence = 0;
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            state.PauseTiming();
            ++sequence;
            now += 1s;
            std::vector<std::string> messages;
            for (std::uint32_t balancer = 1; balancer <= balancers; ++balancer) {
                report.header = headerOf(balancer, sequence);
                for (std::string& part : encodeLoadMessage(report))
                    messages.push_back(std::move(part));
            }
            state.ResumeTiming();
            for (const std::string& message : messages)
                collector.handle(std::get<LoadReport>(valueOf(decodeLoadMessage(message))), now);
            LoadSummary summary = collector.summarize(now);
            summary.header = headerOf(1, sequence);
            benchmark::DoNotOptimize(encodeLoadMessage(summary));
        }
    }

    // Work of a balancer for each summary, without decoding.
    void sharedLoadApply(benchmark::State& state)
    {
        TargetCatalogue catalogue { TargetCatalogueOptions {} };
        fillCatalogue(catalogue, state.range(0));
        SharedLoad shared({}, catalogue);
        shared.recordOwnReport(reportOf(state.range(0)).targets);
        LoadSummary summary = summaryOf(state.range(0));
        MonotonicTime now { 1000s };
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            ++summary.header.sequence;
            now += 1s;
            shared.handle(summary, now);
        }
    }

} // namespace

BENCHMARK(loadReportEncode)->Arg(50)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(loadReportDecode)->Arg(50)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(loadSummaryEncode)->Arg(50)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(loadSummaryDecode)->Arg(50)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(loadCollectorSecond)->Arg(50)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(sharedLoadApply)->Arg(50)->Arg(1'000)->Unit(benchmark::kMicrosecond);

} // namespace anvilwalk
