#include <anvilwalk/process.h>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <cstring>
#include <fakes/PacketBuilder.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

using namespace anvilwalk;

namespace {

const FlowKey flow { .source = { 0x0a000001 },
    .destination = { 0xcb00710a },
    .sourcePort = 40000,
    .destinationPort = 443,
    .protocol = Protocol::Tcp };

// Ones' complement sum of 16-bit words, which is 0xffff for data with a correct checksum.
std::uint32_t foldedSum(const std::vector<std::uint8_t>& bytes)
{
    std::uint32_t sum = 0;
    for (std::size_t at = 0; at < bytes.size(); at += 2)
        sum += static_cast<std::uint32_t>(bytes[at] << 8 | bytes[at + 1]);
    while (sum >> 16 != 0)
        sum = (sum & 0xffff) + (sum >> 16);
    return sum;
}

} // namespace

TEST_CASE("A reset acknowledges the opening packet's sequence number and is addressed to the client")
{
    const auto opening = fakes::buildTcpPacket(flow, { .syn = true }, { 1, 2, 3 }, 0xffffffffU);
    const auto reset = buildReset(std::get<PacketView>(PacketView::parse(opening)));
    REQUIRE(reset);
    const auto parsed = PacketView::parse(*reset);
    REQUIRE(std::holds_alternative<PacketView>(parsed));
    const auto& view = std::get<PacketView>(parsed);
    CHECK(view.kind() == PacketKind::Closing);
    CHECK(view.key().source == flow.destination);
    CHECK(view.key().destination == flow.source);
    CHECK(view.key().sourcePort == flow.destinationPort);
    CHECK(view.key().destinationPort == flow.sourcePort);
    tcphdr tcp;
    std::memcpy(&tcp, reset->data() + sizeof(iphdr), sizeof(tcp));
    CHECK(tcp.rst == 1);
    CHECK(tcp.ack == 1);
    // 0xffffffff plus one for the SYN flag and three payload bytes, modulo 2^32.
    CHECK(ntohl(tcp.ack_seq) == 3);
}

// Guards against resets that the client's kernel discards because of a wrong checksum.
TEST_CASE("Both checksums of a reset are correct")
{
    const auto opening = fakes::buildTcpPacket(flow, { .syn = true }, {}, 12345);
    const auto reset = buildReset(std::get<PacketView>(PacketView::parse(opening)));
    REQUIRE(reset);
    CHECK(foldedSum({ reset->begin(), reset->begin() + sizeof(iphdr) }) == 0xffff);
    std::vector<std::uint8_t> pseudo(reset->begin() + 12, reset->end());
    pseudo.insert(pseudo.end(), { 0, IPPROTO_TCP, 0, sizeof(tcphdr) });
    CHECK(foldedSum(pseudo) == 0xffff);
}

TEST_CASE("Only opening packets are answered with a reset")
{
    const auto data = fakes::buildTcpPacket(flow, { .ack = true });
    CHECK_FALSE(buildReset(std::get<PacketView>(PacketView::parse(data))));
    FlowKey udp = flow;
    udp.protocol = Protocol::Udp;
    const auto datagram = fakes::buildUdpPacket(udp);
    CHECK_FALSE(buildReset(std::get<PacketView>(PacketView::parse(datagram))));
}
