#include <anvilwalk/process.h>

#include <catch2/catch.hpp>
#include <fakes/RouterFixture.h>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

constexpr SlotIndex slot { 5 };

bool isAffected(ServiceId service, SlotIndex index) { return service == dispatch && index == slot; }

FlowTable makeTable(std::size_t capacity = 64)
{
    return FlowTable(FlowTableOptions { .capacity = capacity, .shards = 1 });
}

} // namespace

TEST_CASE("FlowRecordCodec returns the openings of the given slots within the last 7 s")
{
    RouterFixture fixture;
    const FlowKey old = flowInSlot(dispatch, slot, 0);
    const FlowKey recent = flowInSlot(dispatch, slot, 1);
    fixture.open(0, old);
    fixture.clock.advance(7001ms);
    fixture.open(0, recent);
    fixture.open(0, flowInSlot(dispatch, SlotIndex(6)));
    fixture.clock.advance(100ms);
    const auto entries
        = FlowRecordCodec::recentOpenings(*fixture.cluster.node(0).flows, isAffected, fixture.clock.now());
    REQUIRE(entries.size() == 1);
    CHECK(entries[0].source_port() == recent.sourcePort);
    CHECK(entries[0].idle_ms() == 100);

    FlowTable receiver = makeTable();
    const auto outcome = FlowRecordCodec::store(receiver, entries, fixture.clock.now());
    CHECK(outcome.stored == 1);
    const auto record = receiver.find(recent, recent.hash());
    REQUIRE(record);
    CHECK(record->kind == FlowRecordKind::Confirmed);
    CHECK(record->target == TargetId(2));
    CHECK(record->lastSeenMs == FlowTable::toMilliseconds(fixture.clock.now() - 100ms));
}

// Guards against a flow whose target changes because an older copy of its record arrives later.
TEST_CASE("FlowRecordCodec keeps a confirmed record, counts refused records and skips invalid entries")
{
    FakeClock clock;
    const FlowKey key = flowInSlot(dispatch, slot);
    FlowTable sender = makeTable();
    sender.insert(key, key.hash(),
        { .target = TargetId(3), .service = dispatch, .slot = slot, .kind = FlowRecordKind::Confirmed, .closed = true },
        clock.now());
    auto entries = FlowRecordCodec::confirmedRecords(sender, isAffected, clock.now());
    REQUIRE(entries.size() == 1);

    FlowTable receiver = makeTable();
    receiver.insert(key, key.hash(),
        { .target = TargetId(1), .service = dispatch, .slot = slot, .kind = FlowRecordKind::Confirmed }, clock.now());
    CHECK(FlowRecordCodec::store(receiver, entries, clock.now()).stored == 1);
    CHECK(receiver.find(key, key.hash())->target == TargetId(1));

    FlowTable empty = makeTable();
    FlowRecordCodec::store(empty, entries, clock.now());
    CHECK(empty.find(key, key.hash())->closed);

    FlowTable full = makeTable(1);
    for (std::uint32_t i = 1; full.size() < full.capacity(); ++i) {
        const FlowKey filler = flowOf(photos, i);
        full.insert(filler, filler.hash(), {}, clock.now());
    }
    CHECK(FlowRecordCodec::store(full, entries, clock.now()).refused == 1);

    entries[0].set_slot(6);
    CHECK(FlowRecordCodec::store(empty, entries, clock.now()).invalid == 1);
    entries[0].set_slot(slot.value());
    entries[0].set_protocol(1);
    CHECK(FlowRecordCodec::store(empty, entries, clock.now()).invalid == 1);
}
