#include <anvilwalk/process.h>

#include <benchmark/benchmark.h>
#include <fakes/PacketBuilder.h>
#include <pcg_random.hpp>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t benchSeed = 20261204;
    constexpr std::uint32_t targets = 14;
    const ServiceAddress serviceAddress { .address = { 0xcb00710aU }, .port = 443, .protocol = Protocol::Tcp };
    const MonotonicTime startTime(1000s);

    table::TableSet makeTable(bool moving)
    {
        table::TableSet set;
        set.set_version(1);
        table::ServiceTable* service = set.add_services();
        service->set_service(1);
        for (std::uint32_t id = 1; id <= targets; ++id) {
            table::TargetEntry* target = service->add_targets();
            target->set_id(id);
            target->set_host("dispatch-" + std::to_string(id));
            target->set_tunnel_address("10.0.0." + std::to_string(id) + ":5555");
            target->set_weight(1000);
        }
        for (std::uint32_t slot = 0; slot < slotsPerService; ++slot) {
            service->add_slots(1 + slot % targets);
            if (!moving)
                continue;
            table::SlotException* exception = service->add_exceptions();
            exception->set_slot(slot);
            exception->set_phase(table::SLOT_PHASE_MOVING);
            exception->add_candidates(1 + (slot + 1) % targets);
            exception->add_candidates(1 + slot % targets);
            exception->set_announced_in(1);
        }
        return set;
    }

    RoutingMember member(const std::string& name, std::uint16_t port)
    {
        return { .id = BalancerId(name),
            .key = hashText(name),
            .relayEndpoint = { .address = { 0x7f000001U }, .port = port },
            .settled = true };
    }

    // A router among the given number of balancers, whose slots are all stable or all moving.
    std::unique_ptr<SlotRouter> makeRouter(bool moving, std::uint16_t balancers, std::size_t flows)
    {
        auto state = std::make_shared<RoutingState>();
        state->self = BalancerId("lima-a-lb1");
        ServiceConfig service;
        service.id = ServiceId(1);
        service.name = ServiceName("cordeles/dispatch");
        service.addresses = { serviceAddress };
        state->config = std::make_shared<ConfigSnapshot>(ConfigVersion(1), std::vector { service });
        const auto table = TableSnapshot::fromMessage(makeTable(moving));
        state->table = valueOf(table);
        for (std::uint16_t number = 1; number <= balancers; ++number)
            state->members.push_back(
                member("lima-a-lb" + std::to_string(number), static_cast<std::uint16_t>(4200 + number)));
        auto router = std::make_unique<SlotRouter>(SlotRouterOptions {},
            std::make_shared<FlowTable>(FlowTableOptions { .capacity = flows * 2, .shards = 64 }));
        router->setState(std::move(state));
        return router;
    }

    std::vector<std::vector<std::uint8_t>> makePackets(std::size_t flows, const fakes::TcpFlags& flags)
    {
        std::vector<std::vector<std::uint8_t>> packets;
        for (std::uint32_t number = 0; number < flows; ++number) {
            const FlowKey key { .source = { 0x0a000000U + number },
                .destination = serviceAddress.address,
                .sourcePort = static_cast<std::uint16_t>(1024 + number % 60'000),
                .destinationPort = serviceAddress.port,
                .protocol = Protocol::Tcp };
            packets.push_back(fakes::buildTcpPacket(key, flags));
        }
        pcg32 random(benchSeed);
        for (std::size_t i = flows - 1; i > 0; --i)
            std::swap(packets[i], packets[random(static_cast<std::uint32_t>(i + 1))]);
        return packets;
    }

    // Parses and routes the packets in turn.
    void routeAll(benchmark::State& state, SlotRouter& router, const std::vector<std::vector<std::uint8_t>>& packets)
    {
        std::size_t next = 0;
        for (auto _ : state) { // NOLINT(readability-identifier-naming)
            const auto view = PacketView::parse(packets[next]);
            benchmark::DoNotOptimize(router.route(std::get<PacketView>(view), startTime));
            next = next + 1 == packets.size() ? 0 : next + 1;
        }
    }

    // Opens each flow, so that the router has a record of it.
    void openAll(SlotRouter& router, std::size_t flows)
    {
        for (const auto& packet : makePackets(flows, { .syn = true })) {
            const auto view = PacketView::parse(packet);
            router.route(std::get<PacketView>(view), startTime);
        }
    }

    void routeStableHit(benchmark::State& state)
    {
        const auto flows = static_cast<std::size_t>(state.range(0));
        const auto router = makeRouter(false, 9, flows);
        openAll(*router, flows);
        routeAll(state, *router, makePackets(flows, { .ack = true }));
    }

    void routeStableMiss(benchmark::State& state)
    {
        const auto flows = static_cast<std::size_t>(state.range(0));
        const auto router = makeRouter(false, 9, flows);
        routeAll(state, *router, makePackets(flows, { .ack = true }));
    }

    void routeStableOpening(benchmark::State& state)
    {
        const auto flows = static_cast<std::size_t>(state.range(0));
        const auto router = makeRouter(false, 9, flows);
        routeAll(state, *router, makePackets(flows, { .syn = true }));
    }

    // The only balancer owns all slots and has a record of each flow.
    void routeOwnedHit(benchmark::State& state)
    {
        const auto flows = static_cast<std::size_t>(state.range(0));
        const auto router = makeRouter(true, 1, flows);
        openAll(*router, flows);
        routeAll(state, *router, makePackets(flows, { .ack = true }));
    }

    // Every slot is moving and belongs to one of nine balancers, so that most packets are relayed to the owner.
    void routeRelayed(benchmark::State& state)
    {
        const auto flows = static_cast<std::size_t>(state.range(0));
        const auto router = makeRouter(true, 9, flows);
        routeAll(state, *router, makePackets(flows, { .ack = true }));
    }

} // namespace

BENCHMARK(routeStableHit)->Arg(1'000)->Arg(100'000)->Arg(300'000)->Arg(1'000'000);
BENCHMARK(routeStableMiss)->Arg(1'000)->Arg(100'000)->Arg(300'000)->Arg(1'000'000);
BENCHMARK(routeStableOpening)->Arg(1'000)->Arg(100'000)->Arg(300'000)->Arg(1'000'000);
BENCHMARK(routeOwnedHit)->Arg(1'000)->Arg(300'000);
BENCHMARK(routeRelayed)->Arg(1'000)->Arg(300'000);

} // namespace anvilwalk
