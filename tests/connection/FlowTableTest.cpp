#include <anvilwalk/connection.h>

#include <catch2/catch.hpp>
#include <fakes/FakeClock.h>
#include <thread>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

FlowKey flow(std::uint32_t number)
{
    return { .source = { 0x0a000000 + number },
        .destination = { 0xcb00710a },
        .sourcePort = static_cast<std::uint16_t>(1024 + number % 60000),
        .destinationPort = 443,
        .protocol = Protocol::Tcp };
}

FlowRecord recordFor(std::uint32_t target, FlowRecordKind kind = FlowRecordKind::Confirmed)
{
    return { .target = TargetId(target), .service = ServiceId(1), .slot = SlotIndex(7), .kind = kind };
}

constexpr auto idleDeadline = [](ServiceId) { return 10'000ms; };

} // namespace

// Guards against a retransmitted opening packet moving its flow to another target.
TEST_CASE("FlowTable keeps the first confirmed target of a flow")
{
    fakes::FakeClock clock;
    FlowTable table({ .capacity = 100, .shards = 4 });
    const FlowKey key = flow(1);
    CHECK(table.insert(key, key.hash(), recordFor(1), clock.now()).kind == InsertResult::Kind::Inserted);
    const auto second = table.insert(key, key.hash(), recordFor(2), clock.now());
    CHECK(second.kind == InsertResult::Kind::Existing);
    CHECK(second.record->target == TargetId(1));
}

TEST_CASE("FlowTable replaces an observed record by a confirmed one but not the reverse")
{
    fakes::FakeClock clock;
    FlowTable table({ .capacity = 100, .shards = 4 });
    const FlowKey key = flow(1);
    table.insert(key, key.hash(), recordFor(1, FlowRecordKind::Observed), clock.now());
    CHECK(table.insert(key, key.hash(), recordFor(2), clock.now()).record->target == TargetId(2));
    table.insert(key, key.hash(), recordFor(3, FlowRecordKind::Observed), clock.now());
    CHECK(table.find(key, key.hash())->target == TargetId(2));
}

// Guards against unbounded memory growth under a flood of new flows.
TEST_CASE("FlowTable returns Full at its capacity and keeps existing records")
{
    fakes::FakeClock clock;
    FlowTable table({ .capacity = 64, .shards = 1 });
    REQUIRE(table.capacity() >= 64);
    const std::size_t memoryBefore = table.memoryBytes();
    std::size_t full = 0;
    for (std::uint32_t i = 0; i < table.capacity() + 36; ++i) {
        const FlowKey key = flow(i);
        if (table.insert(key, key.hash(), recordFor(1), clock.now()).kind == InsertResult::Kind::Full)
            ++full;
    }
    CHECK(table.size() == table.capacity());
    CHECK(table.memoryBytes() == memoryBefore);
    CHECK(full == 36);
    const FlowKey first = flow(0);
    CHECK(table.find(first, first.hash()).has_value());
}

TEST_CASE("FlowTable uses at most 64 bytes per flow when full")
{
    FlowTable table({ .capacity = 300'000, .shards = 64 });
    CHECK(static_cast<double>(table.memoryBytes()) / static_cast<double>(table.capacity()) <= 64.0);
}

// Guards against a late packet of a closed flow being taken for part of a new flow with the same 5-tuple.
TEST_CASE("FlowTable keeps a closed record for the linger time")
{
    fakes::FakeClock clock;
    FlowTable table({ .capacity = 100, .shards = 1, .closedLinger = 60'000ms });
    const FlowKey key = flow(1);
    table.insert(key, key.hash(), recordFor(1), clock.now());
    table.touch(key, key.hash(), PacketKind::Closing, clock.now());
    clock.advance(59s);
    CHECK(table.expire(clock.now(), idleDeadline) == 0);
    CHECK(table.find(key, key.hash())->closed);
    clock.advance(2s);
    CHECK(table.expire(clock.now(), idleDeadline) == 1);
    CHECK_FALSE(table.find(key, key.hash()).has_value());
}

TEST_CASE("FlowTable expires idle flows only after the service's deadline")
{
    fakes::FakeClock clock;
    FlowTable table({ .capacity = 100, .shards = 1 });
    const FlowKey idle = flow(1);
    const FlowKey active = flow(2);
    table.insert(idle, idle.hash(), recordFor(1), clock.now());
    table.insert(active, active.hash(), recordFor(1), clock.now());
    clock.advance(9s);
    table.touch(active, active.hash(), PacketKind::Data, clock.now());
    clock.advance(2s);
    CHECK(table.expire(clock.now(), idleDeadline) == 1);
    CHECK(table.find(active, active.hash()).has_value());
}

TEST_CASE("FlowTable is consistent when several threads insert the same flows")
{
    fakes::FakeClock clock;
    FlowTable table({ .capacity = 10'000, .shards = 16 });
    std::vector<std::thread> threads;
    for (std::uint32_t target = 1; target <= 4; ++target) {
        threads.emplace_back([&, target] {
            for (std::uint32_t i = 0; i < 5000; ++i) {
                const FlowKey key = flow(i);
                table.insert(key, key.hash(), recordFor(target), clock.now());
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    CHECK(table.size() == 5000);
}
