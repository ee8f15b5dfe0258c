#include <anvilwalk/request.h>

#include <benchmark/benchmark.h>
#include <fakes/PacketBuilder.h>

namespace anvilwalk {

namespace {

    void packetParse(benchmark::State& state)
    {
        const FlowKey key { .source = { 0x0a000001U },
            .destination = { 0xcb00710aU },
            .sourcePort = 40'000,
            .destinationPort = 443,
            .protocol = Protocol::Tcp };
        const auto packet = fakes::buildTcpPacket(key, { .ack = true }, std::vector<std::uint8_t>(256));
        for (auto _ : state) // NOLINT(readability-identifier-naming)
            benchmark::DoNotOptimize(PacketView::parse(packet));
    }

    void flowHash(benchmark::State& state)
    {
        FlowKey key { .source = { 0x0a000001U },
            .destination = { 0xcb00710aU },
            .sourcePort = 40'000,
            .destinationPort = 443,
            .protocol = Protocol::Tcp };
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            benchmark::DoNotOptimize(key.hash());
            ++key.sourcePort;
        }
    }

} // namespace

BENCHMARK(packetParse);
BENCHMARK(flowHash);

} // namespace anvilwalk
