#include <anvilwalk/process.h>

#include <catch2/catch.hpp>
#include <fakes/PacketBuilder.h>
#include <functional>
#include <rapidcheck.h>

using namespace anvilwalk;

namespace {

using Bytes = std::vector<std::uint8_t>;

FlowKey arbitraryKey()
{
    return { .source = { *rc::gen::arbitrary<std::uint32_t>() },
        .destination = { *rc::gen::arbitrary<std::uint32_t>() },
        .sourcePort = *rc::gen::arbitrary<std::uint16_t>(),
        .destinationPort = *rc::gen::arbitrary<std::uint16_t>(),
        .protocol = Protocol::Tcp };
}

RelayHeader headerFor(const FlowKey& key)
{
    return { .purpose = RelayPurpose::Replicate,
        .hops = 2,
        .sender = BalancerId("b1"),
        .owner = BalancerId("b2"),
        .service = ServiceId(7),
        .slot = slotOf(key.hash()),
        .target = TargetId(9),
        .tableVersion = TableVersion(11) };
}

Bytes encode(const RelayHeader& header, const Bytes& packet)
{
    relay::RelayedPacket scratch;
    Bytes buffer(packet.size() + maxRelayHeaderBytes);
    buffer.resize(encodeRelayed(header, packet, scratch, buffer));
    return buffer;
}

// Encodes a valid datagram, changes the message and returns the reason why decoding it fails.
DropReason reasonAfter(const std::function<void(relay::RelayedPacket&)>& change)
{
    const FlowKey key { .source = { 1 }, .destination = { 2 }, .sourcePort = 3, .destinationPort = 4 };
    const Bytes datagram = encode(headerFor(key), fakes::buildTcpPacket(key, { .syn = true }));
    relay::RelayedPacket message;
    REQUIRE(message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())));
    change(message);
    const std::string changed = message.SerializeAsString();
    relay::RelayedPacket scratch;
    const auto result
        = decodeRelayed({ reinterpret_cast<const std::uint8_t*>(changed.data()), changed.size() }, scratch);
    REQUIRE(std::holds_alternative<DropReason>(result));
    return std::get<DropReason>(result);
}

} // namespace

TEST_CASE("A relayed packet round-trips with its header")
{
    CHECK(rc::check("encode, then decode", [] {
        const FlowKey key = arbitraryKey();
        const Bytes packet = fakes::buildTcpPacket(key, { .ack = true }, *rc::gen::arbitrary<Bytes>());
        RelayHeader header = headerFor(key);
        header.purpose = *rc::gen::element(RelayPurpose::Decide, RelayPurpose::Replicate, RelayPurpose::Confirmed);
        header.hops = *rc::gen::inRange(1U, 100U);
        header.tableVersion = TableVersion(*rc::gen::arbitrary<std::uint64_t>());
        if (header.purpose == RelayPurpose::Decide)
            header.target = TargetId();
        const Bytes datagram = encode(header, packet);
        relay::RelayedPacket message;
        const auto result = decodeRelayed(datagram, message);
        RC_ASSERT(std::holds_alternative<RelayedPacketView>(result));
        const auto& view = std::get<RelayedPacketView>(result);
        RC_ASSERT(Bytes(view.packet.bytes().begin(), view.packet.bytes().end()) == packet);
        RC_ASSERT(view.packet.key() == key);
        RC_ASSERT(view.header.purpose == header.purpose);
        RC_ASSERT(view.header.hops == header.hops);
        RC_ASSERT(view.header.sender == header.sender);
        RC_ASSERT(view.header.owner == header.owner);
        RC_ASSERT(view.header.service == header.service);
        RC_ASSERT(view.header.slot == header.slot);
        RC_ASSERT(view.header.target == header.target);
        RC_ASSERT(view.header.tableVersion == header.tableVersion);
    }));
}

// Guards against a crash or a forwarded packet caused by arbitrary datagrams to the relay port.
TEST_CASE("Random bytes are never decoded as a relayed packet")
{
    CHECK(rc::check("random datagrams", [] {
        const Bytes datagram = *rc::gen::arbitrary<Bytes>();
        relay::RelayedPacket message;
        RC_ASSERT(std::holds_alternative<DropReason>(decodeRelayed(datagram, message)));
    }));
}

TEST_CASE("A relayed packet with a changed byte is rejected or decoded consistently")
{
    CHECK(rc::check("one byte changed", [] {
        const FlowKey key = arbitraryKey();
        Bytes datagram = encode(headerFor(key), fakes::buildTcpPacket(key, { .ack = true }));
        const auto position = *rc::gen::inRange<std::size_t>(0, datagram.size());
        datagram[position] = *rc::gen::arbitrary<std::uint8_t>();
        relay::RelayedPacket message;
        const auto result = decodeRelayed(datagram, message);
        if (const auto* view = std::get_if<RelayedPacketView>(&result)) {
            RC_ASSERT(view->header.hops > 0U);
            RC_ASSERT(view->header.service != ServiceId());
            RC_ASSERT(view->header.slot == slotOf(view->packet.key().hash()));
        }
    }));
}

TEST_CASE("An invalid relay header or inner packet is rejected")
{
    using relay::RelayedPacket;
    CHECK(reasonAfter([](RelayedPacket& m) { m.set_hops(0); }) == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.set_service(0); }) == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.set_slot(slotsPerService); }) == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.set_slot((m.slot() + 1) % slotsPerService); })
        == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.clear_sender(); }) == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.set_sender(std::string(65, 'x')); }) == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.clear_owner(); }) == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.set_target(0); }) == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.clear_purpose(); }) == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.set_purpose(relay::RELAY_PURPOSE_DECIDE); })
        == DropReason::BadRelayHeader);
    CHECK(reasonAfter([](RelayedPacket& m) { m.clear_packet(); }) == DropReason::Truncated);
    CHECK(reasonAfter([](RelayedPacket& m) { m.mutable_packet()->push_back('x'); }) == DropReason::BadLength);
}

TEST_CASE("Encoding a relayed packet into a buffer that is too small returns 0")
{
    const FlowKey key { .source = { 1 }, .destination = { 2 }, .sourcePort = 3, .destinationPort = 4 };
    relay::RelayedPacket scratch;
    std::array<std::uint8_t, 40> buffer {};
    CHECK(encodeRelayed(headerFor(key), fakes::buildTcpPacket(key, { .ack = true }), scratch, buffer) == 0);
}
