#include <anvilwalk/process.h>

#include <catch2/catch.hpp>
#include <fakes/FakeClock.h>
#include <set>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

FlowKey flowNumber(std::uint32_t number)
{
    return { .source = { 0x0a000000U + number },
        .destination = { 0xcb00710aU },
        .sourcePort = static_cast<std::uint16_t>(1024 + number),
        .destinationPort = 443,
        .protocol = Protocol::Tcp };
}

RoutingMember member(const std::string& name, bool settled)
{
    return { .id = BalancerId(name), .key = hashText(name), .relayEndpoint = {}, .settled = settled };
}

ControlPlaneOptions optionsOf(const std::string& name)
{
    ControlPlaneOptions options;
    options.self = BalancerId(name);
    return options;
}

FlowRecord observedRecord(SlotIndex slot, MonotonicTime now)
{
    return { .target = TargetId(3),
        .service = ServiceId(1),
        .slot = slot,
        .kind = FlowRecordKind::Observed,
        .closed = false,
        .openedMs = FlowTable::toMilliseconds(now) };
}

std::set<std::string> pushReceivers(const std::vector<ControlAction>& actions)
{
    std::set<std::string> receivers;
    for (const ControlAction& action : actions) {
        if (const auto* push = std::get_if<PushRecordsTo>(&action))
            receivers.insert(push->peer.value());
    }
    return receivers;
}

} // namespace

// Guards against a repeated opening packet that is sent to another target: an unsettled owner consults the first
// settled balancer, which must have a record of the flow.
TEST_CASE("RecordExchange pushes recent openings to the first settled balancer if owner and backup are unsettled")
{
    fakes::FakeClock clock;
    auto flows = std::make_shared<FlowTable>(FlowTableOptions { .capacity = 100, .shards = 1 });
    RecordExchange exchange(optionsOf("observer"), flows);
    const FlowKey key = flowNumber(1);
    const SlotIndex slot = slotOf(key.hash());
    flows->insert(key, key.hash(), observedRecord(slot, clock.now()), clock.now());

    RoutingState state;
    state.self = BalancerId("observer");
    state.members = { member("a", true), member("b", true), member("c", true), member("d", true) };
    const auto order = rankMembers(state, ServiceId(1), slot);
    const std::vector<std::string> names { order[0]->id.value(), order[1]->id.value(), order[2]->id.value() };
    for (RoutingMember& each : state.members)
        each.settled = each.id.value() != names[0] && each.id.value() != names[1];

    exchange.pushOpenings({ { ServiceId(1), slot } }, clock.now() - 1s, clock.now());
    clock.advance(1s);
    std::vector<ControlAction> actions;
    exchange.tick(state, clock.now(), actions);
    CHECK(pushReceivers(actions) == std::set<std::string>(names.begin(), names.end()));
}

// Guards against a balancer that counts as settled although its flow table had no room for some records.
TEST_CASE("RecordExchange reports fetched records that do not fit into the flow table")
{
    fakes::FakeClock clock;
    auto flows = std::make_shared<FlowTable>(FlowTableOptions { .capacity = 4, .shards = 1 });
    RecordExchange exchange(optionsOf("joiner"), flows);
    peer::FetchRecordsResponse response;
    const auto addRecord = [&](std::uint32_t number) {
        const FlowKey key = flowNumber(number);
        peer::FlowRecordEntry* entry = response.add_records();
        entry->set_source_address(key.source.value);
        entry->set_destination_address(key.destination.value);
        entry->set_source_port(key.sourcePort);
        entry->set_destination_port(key.destinationPort);
        entry->set_protocol(static_cast<std::uint32_t>(key.protocol));
        entry->set_service(1);
        entry->set_slot(slotOf(key.hash()).value());
        entry->set_target(3);
    };
    for (std::uint32_t number = 0; number < flows->capacity(); ++number)
        addRecord(number);
    CHECK(exchange.merge(response, clock.now()));
    addRecord(1000);
    CHECK_FALSE(exchange.merge(response, clock.now()));
}

// Guards against an entry with a port over 65535 or a slot that does not match its flow key: stored, it would send
// another flow to the wrong target.
TEST_CASE("RecordExchange skips pushed records with inconsistent fields")
{
    fakes::FakeClock clock;
    auto flows = std::make_shared<FlowTable>(FlowTableOptions { .capacity = 100, .shards = 1 });
    RecordExchange exchange(optionsOf("owner"), flows);
    peer::PushRecordsRequest request;
    const FlowKey key = flowNumber(1);
    FlowEntry flow { .key = key, .record = observedRecord(slotOf(key.hash()), clock.now()) };
    *request.add_records() = FlowRecordCodec::toEntry(flow, clock.now());
    request.mutable_records(0)->set_source_port(65536 + key.sourcePort);
    flow.record.slot = SlotIndex(static_cast<std::uint16_t>((flow.record.slot.value() + 1) % slotsPerService));
    *request.add_records() = FlowRecordCodec::toEntry(flow, clock.now());
    const peer::PushRecordsResponse response = exchange.answerPush(request, clock.now());
    CHECK(response.stored() == 0);
    CHECK(flows->size() == 0);
}
