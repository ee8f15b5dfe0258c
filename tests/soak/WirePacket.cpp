#include "WirePacket.h"

#include <boost/endian/conversion.hpp>
#include <charconv>
#include <fmt/format.h>

namespace anvilwalk::soak {

namespace {

    namespace endian = boost::endian;

    constexpr std::size_t headerBytes = 32;
    constexpr std::uint64_t checksumSeed = 0x736f616b;
    constexpr std::string_view idHeader = "X-Anvilwalk-Attempt-Id: ";
    constexpr std::size_t idDigits = 16;

} // namespace

FlowKey WirePacket::clientFlow() const
{
    return {
        .source = source, .destination = destination, .sourcePort = sourcePort, .destinationPort = destinationPort
    };
}

FlowKey WirePacket::hostFlow() const
{
    return {
        .source = destination, .destination = source, .sourcePort = destinationPort, .destinationPort = sourcePort
    };
}

std::uint32_t checksumOf(const WirePacket& packet)
{
    const std::string fields
        = fmt::format("{}.{}.{}.{}.{}.{}.{}.{}", packet.source.value, packet.destination.value, packet.sourcePort,
            packet.destinationPort, packet.flags, packet.sequence, packet.acknowledgement, packet.payload);
    // 0 stands for a reset of the system.
    return static_cast<std::uint32_t>(hashText(fields, checksumSeed)) | 1U;
}

std::vector<std::uint8_t> encode(const WirePacket& packet)
{
    std::vector<std::uint8_t> bytes(headerBytes + packet.payload.size());
    std::uint8_t* head = bytes.data();
    endian::store_big_u32(head, packet.destination.value);
    endian::store_big_u32(head + 4, packet.source.value);
    endian::store_big_u16(head + 8, packet.destinationPort);
    endian::store_big_u16(head + 10, packet.sourcePort);
    endian::store_big_u16(head + 12, static_cast<std::uint16_t>(packet.payload.size()));
    endian::store_big_u32(head + 14, checksumOf(packet));
    endian::store_big_u32(head + 18, packet.sequence);
    endian::store_big_u32(head + 22, packet.acknowledgement);
    head[26] = packet.flags;
    endian::store_big_u32(head + 28, packet.token);
    std::copy(packet.payload.begin(), packet.payload.end(), bytes.begin() + headerBytes);
    return bytes;
}

std::optional<WirePacket> decode(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < headerBytes)
        return std::nullopt;
    const std::uint8_t* head = bytes.data();
    if (bytes.size() != headerBytes + endian::load_big_u16(head + 12))
        return std::nullopt;
    return WirePacket { .source = { endian::load_big_u32(head + 4) },
        .destination = { endian::load_big_u32(head) },
        .sourcePort = endian::load_big_u16(head + 10),
        .destinationPort = endian::load_big_u16(head + 8),
        .flags = head[26],
        .token = endian::load_big_u32(head + 28),
        .sequence = endian::load_big_u32(head + 18),
        .acknowledgement = endian::load_big_u32(head + 22),
        .payload = std::string(bytes.begin() + headerBytes, bytes.end()),
        .checksum = endian::load_big_u32(head + 14) };
}

std::uint64_t readHostPrefix(std::span<const std::uint8_t> bytes) { return endian::load_big_u64(bytes.data()); }

std::string requestText(std::uint64_t id)
{
    return fmt::format("POST /soak HTTP/1.1\r\n{}{:016x}\r\n\r\n", idHeader, id);
}

std::string responseText(std::uint64_t id) { return fmt::format("HTTP/1.1 200 OK\r\n{}{:016x}\r\n\r\n", idHeader, id); }

std::uint64_t requestIdIn(std::string_view text)
{
    const std::size_t at = text.find(idHeader);
    if (at == std::string_view::npos)
        return 0;
    const std::string_view digits = text.substr(at + idHeader.size(), idDigits);
    std::uint64_t id = 0;
    constexpr int hexadecimal = 16;
    std::from_chars(digits.data(), digits.data() + digits.size(), id, hexadecimal);
    return id;
}

} // namespace anvilwalk::soak
