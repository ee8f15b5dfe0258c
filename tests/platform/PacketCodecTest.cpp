#include <platform/PacketCodec.h>
#include <platform/TokenPacketFormat.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace anvilwalk;
using namespace anvilwalk::platform;

namespace {

// Example from the platform's specification: an opening packet from 100.64.0.7:40001 to 198.18.0.1:443, sequence
// 0x11223344.
const std::vector<std::uint8_t> openingExample { 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0x9c, 0x41,
    0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x40, 0x00, 0x00, 0x00, 0x00,
    0x00 };
const std::vector<std::uint8_t> resetExample { 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x01, 0xbb,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x00,
    0x00 };

constexpr std::size_t lengthOffset = 12;
constexpr std::size_t acknowledgementOffset = 22;
constexpr std::size_t flagsOffset = 26;
constexpr std::size_t tokenOffset = 28;

DropReason reasonOf(const std::vector<std::uint8_t>& bytes)
{
    const auto result = parsePacket(bytes);
    REQUIRE(std::holds_alternative<DropReason>(result));
    return std::get<DropReason>(result);
}

} // namespace

TEST_CASE("parsePacket parses the platform's example")
{
    const auto result = parsePacket(openingExample);
    REQUIRE(std::holds_alternative<PacketView>(result));
    const PacketFields& fields = std::get<PacketView>(result).fields();
    CHECK(fields.key.source.toString() == "100.64.0.7");
    CHECK(fields.key.sourcePort == 40001);
    CHECK(fields.key.destination.toString() == "198.18.0.1");
    CHECK(fields.key.destinationPort == 443);
    CHECK(fields.kind == PacketKind::Opening);
    CHECK(fields.sequence == 0x11223344);
    CHECK(fields.openingCopy == 0);
    CHECK(fields.token == FlowToken());
}

TEST_CASE("makeReset builds the platform's example")
{
    const auto result = parsePacket(openingExample);
    const ResetPacket reset = makeReset(std::get<PacketView>(result).fields());
    CHECK(std::vector<std::uint8_t>(reset.begin(), reset.end()) == resetExample);
}

// Guards against a reset that clients ignore because its sequence is far from what they last acknowledged.
TEST_CASE("makeReset uses the client's acknowledgement as its sequence")
{
    std::vector<std::uint8_t> bytes = openingExample;
    bytes[flagsOffset] = 8;
    bytes[acknowledgementOffset] = 0x12;
    bytes[acknowledgementOffset + 3] = 0x34;
    const auto result = parsePacket(bytes);
    const ResetPacket reset = makeReset(std::get<PacketView>(result).fields());
    CHECK(reset[18] == 0x12);
    CHECK(reset[21] == 0x34);
}

TEST_CASE("parsePacket distinguishes the copy number of an opening packet from an acknowledgement")
{
    std::vector<std::uint8_t> bytes = openingExample;
    bytes[acknowledgementOffset + 3] = 2;
    CHECK(std::get<PacketView>(parsePacket(bytes)).fields().openingCopy == 2);
    bytes[flagsOffset] = 8;
    const auto data = parsePacket(bytes);
    CHECK(std::get<PacketView>(data).fields().openingCopy == 0);
    CHECK(std::get<PacketView>(data).fields().acknowledgement == 2);
}

TEST_CASE("parsePacket returns the drop reason of a malformed packet")
{
    CHECK(reasonOf({}) == DropReason::Truncated);
    CHECK(reasonOf(std::vector<std::uint8_t>(31)) == DropReason::Truncated);
    std::vector<std::uint8_t> longer = openingExample;
    longer.push_back(0);
    CHECK(reasonOf(longer) == DropReason::BadLength);
    std::vector<std::uint8_t> shorter = openingExample;
    shorter[lengthOffset + 1] = 1;
    CHECK(reasonOf(shorter) == DropReason::Truncated);
    std::vector<std::uint8_t> oversized(headerBytes + 1201);
    oversized[lengthOffset] = 0x04;
    oversized[lengthOffset + 1] = 0xb1;
    CHECK(reasonOf(oversized) == DropReason::BadLength);
    // Only targets send SYN with ACK, and they send to clients directly.
    std::vector<std::uint8_t> forged = openingExample;
    forged[flagsOffset] = 64 | 8;
    CHECK(reasonOf(forged) == DropReason::UnsupportedProtocol);
}

// Guards against forwarding that changes more of a packet than its token.
TEST_CASE("TokenPacketFormat changes only the token and writes the target's key as a prefix")
{
    const TokenPacketFormat format;
    std::vector<std::uint8_t> datagram(targetPrefixBytes + openingExample.size(), 0xee);
    std::copy(openingExample.begin(), openingExample.end(), datagram.begin() + targetPrefixBytes);
    const ForwardToTarget forward {
        .target = {}, .tunnel = {}, .service = {}, .token = FlowToken(0x01020304), .targetKey = TargetKey(0x8b2856c436)
    };
    format.prepareForTarget(datagram, forward);
    const std::vector<std::uint8_t> prefix { 0, 0, 0, 0x8b, 0x28, 0x56, 0xc4, 0x36 };
    CHECK(std::vector<std::uint8_t>(datagram.begin(), datagram.begin() + targetPrefixBytes) == prefix);
    std::vector<std::uint8_t> expected = openingExample;
    expected[tokenOffset] = 1;
    expected[tokenOffset + 1] = 2;
    expected[tokenOffset + 2] = 3;
    expected[tokenOffset + 3] = 4;
    CHECK(std::vector<std::uint8_t>(datagram.begin() + targetPrefixBytes, datagram.end()) == expected);
}

TEST_CASE("parsePacket handles arbitrary bytes")
{
    CHECK(rc::check("any bytes", [](const std::vector<std::uint8_t>& bytes) {
        const auto result = parsePacket(bytes);
        if (const auto* view = std::get_if<PacketView>(&result))
            RC_ASSERT(bytes.size() == headerBytes + view->fields().payloadBytes);
    }));
}

TEST_CASE("findRequestId finds the header only near the start of a request")
{
    const auto find = [](const std::string& text) {
        return std::string(findRequestId({ reinterpret_cast<const std::uint8_t*>(text.data()), text.size() }));
    };
    CHECK(find("GET / HTTP/1.1\r\nX-Anvilwalk-Attempt-Id: 8d802fa6\r\n\r\n") == "8d802fa6");
    CHECK(find("GET / HTTP/1.1\r\nX-Anvilwalk-Attempt-Id: 8d80").empty());
    CHECK(find("GET / HTTP/1.1\r\n\r\n").empty());
    CHECK(find(std::string(600, 'x') + "\r\nX-Anvilwalk-Attempt-Id: 8d802fa6\r\n").empty());
    CHECK(find("").empty());
}
