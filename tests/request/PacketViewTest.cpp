#include <anvilwalk/request.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fakes/PacketBuilder.h>
#include <rapidcheck.h>

using namespace anvilwalk;

namespace {

FlowKey dispatchFlow()
{
    return { .source = { 0x7f010001 },
        .destination = { 0xcb00710a },
        .sourcePort = 40000,
        .destinationPort = 443,
        .protocol = Protocol::Tcp };
}

DropReason reasonOf(const std::vector<std::uint8_t>& bytes)
{
    const auto result = PacketView::parse(bytes);
    REQUIRE(std::holds_alternative<DropReason>(result));
    return std::get<DropReason>(result);
}

} // namespace

TEST_CASE("PacketView reads the 5-tuple and kind of a valid packet")
{
    const FlowKey key = dispatchFlow();
    const auto opening = fakes::buildTcpPacket(key, { .syn = true });
    const auto view = std::get<PacketView>(PacketView::parse(opening));
    CHECK(view.key() == key);
    CHECK(view.kind() == PacketKind::Opening);

    const auto synAck = fakes::buildTcpPacket(key, { .syn = true, .ack = true });
    CHECK(std::get<PacketView>(PacketView::parse(synAck)).kind() == PacketKind::Data);
    const auto closing = fakes::buildTcpPacket(key, { .ack = true, .fin = true });
    CHECK(std::get<PacketView>(PacketView::parse(closing)).kind() == PacketKind::Closing);
    const auto reset = fakes::buildTcpPacket(key, { .rst = true });
    CHECK(std::get<PacketView>(PacketView::parse(reset)).kind() == PacketKind::Closing);
}

// Guards against reading past the end of a cut packet.
TEST_CASE("PacketView rejects every truncation of a packet")
{
    const auto packet = fakes::buildTcpPacket(dispatchFlow(), { .ack = true }, { 1, 2, 3, 4 });
    for (std::size_t size = 0; size < packet.size(); ++size) {
        const std::vector<std::uint8_t> cut(packet.begin(), packet.begin() + static_cast<std::ptrdiff_t>(size));
        CHECK(reasonOf(cut) == DropReason::Truncated);
    }
}

TEST_CASE("PacketView names the reason why a packet is rejected")
{
    auto packet = fakes::buildTcpPacket(dispatchFlow(), { .syn = true });
    SECTION("trailing bytes")
    {
        packet.push_back(0);
        CHECK(reasonOf(packet) == DropReason::BadLength);
    }
    SECTION("version 6")
    {
        packet[0] = 0x65;
        CHECK(reasonOf(packet) == DropReason::BadVersion);
    }
    SECTION("options")
    {
        packet[0] = 0x46;
        CHECK(reasonOf(packet) == DropReason::IpOptions);
    }
    SECTION("first fragment")
    {
        packet[6] = 0x20;
        CHECK(reasonOf(packet) == DropReason::Fragment);
    }
    SECTION("later fragment")
    {
        packet[7] = 0x01;
        CHECK(reasonOf(packet) == DropReason::Fragment);
    }
    SECTION("ICMP")
    {
        packet[9] = 1;
        CHECK(reasonOf(packet) == DropReason::UnsupportedProtocol);
    }
    SECTION("TCP header longer than the segment")
    {
        packet[32] = 0xf0;
        CHECK(reasonOf(packet) == DropReason::BadLength);
    }
    SECTION("UDP length that differs from the IP length")
    {
        auto datagram = fakes::buildUdpPacket(dispatchFlow(), { 1 });
        datagram[25] = 200;
        datagram[9] = 17;
        CHECK(reasonOf(datagram) == DropReason::BadLength);
    }
}

// Guards against out-of-bounds reads and against a packet that is taken for another flow's.
TEST_CASE("PacketView accepts only packets whose header bytes match the result")
{
    const bool passed = rc::check("random bytes never crash the parser", [] {
        auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
        if (bytes.size() >= 20 && *rc::gen::arbitrary<bool>()) {
            bytes[0] = 0x45;
            bytes[2] = static_cast<std::uint8_t>(bytes.size() >> 8);
            bytes[3] = static_cast<std::uint8_t>(bytes.size());
            bytes[6] = bytes[7] = 0;
            bytes[9] = *rc::gen::element<std::uint8_t>(6, 17);
        }
        const auto result = PacketView::parse(bytes);
        if (const auto* view = std::get_if<PacketView>(&result)) {
            RC_ASSERT(view->bytes().size() == bytes.size());
            const auto destination
                = static_cast<std::uint32_t>((bytes[16] << 24) | (bytes[17] << 16) | (bytes[18] << 8) | bytes[19]);
            RC_ASSERT(view->key().destination.value == destination);
            RC_ASSERT(view->key().destinationPort == ((bytes[22] << 8) | bytes[23]));
        }
    });
    CHECK(passed);
}
