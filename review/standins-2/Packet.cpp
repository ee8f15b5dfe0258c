#include "Lab.h"

#include <boost/endian/conversion.hpp>

namespace lab {

namespace {

    namespace endian = boost::endian;

    constexpr std::size_t headerBytes = 32;
    constexpr std::uint32_t sumKey = 0x5bd1e995;

    auto* bytesOf(std::string& text) { return reinterpret_cast<std::uint8_t*>(text.data()); }

} // namespace

std::uint32_t sumOf(const Packet& packet)
{
    std::uint32_t sum = sumKey;
    const auto add = [&](std::uint32_t value) {
        for (int shift = 0; shift < 32; shift += 8)
            sum = (sum ^ ((value >> shift) & 0xff)) * 16777619U;
    };
    add(packet.destination);
    add(packet.source);
    add(packet.destinationPort);
    add(packet.sourcePort);
    add(packet.sequence);
    add(packet.acknowledgement);
    add(packet.flags);
    add(static_cast<std::uint32_t>(packet.data.size()));
    for (const char byte : packet.data)
        sum = (sum ^ static_cast<std::uint8_t>(byte)) * 16777619U;
    return sum == 0 ? 1 : sum;
}

std::string encode(const Packet& packet)
{
    std::string bytes(headerBytes, '\0');
    std::uint8_t* header = bytesOf(bytes);
    endian::store_big_u32(header, packet.destination);
    endian::store_big_u32(header + 4, packet.source);
    endian::store_big_u16(header + 8, packet.destinationPort);
    endian::store_big_u16(header + 10, packet.sourcePort);
    endian::store_big_u16(header + 12, static_cast<std::uint16_t>(packet.data.size()));
    endian::store_big_u32(header + 14, sumOf(packet));
    endian::store_big_u32(header + 18, packet.sequence);
    endian::store_big_u32(header + 22, packet.acknowledgement);
    header[26] = packet.flags;
    endian::store_big_u32(header + 28, packet.echo);
    return bytes + packet.data;
}

bool decode(const char* bytes, std::size_t size, Packet& packet)
{
    if (size < headerBytes)
        return false;
    const auto* header = reinterpret_cast<const std::uint8_t*>(bytes);
    packet.destination = endian::load_big_u32(header);
    packet.source = endian::load_big_u32(header + 4);
    packet.destinationPort = endian::load_big_u16(header + 8);
    packet.sourcePort = endian::load_big_u16(header + 10);
    packet.sum = endian::load_big_u32(header + 14);
    packet.sequence = endian::load_big_u32(header + 18);
    packet.acknowledgement = endian::load_big_u32(header + 22);
    packet.flags = header[26];
    packet.echo = endian::load_big_u32(header + 28);
    packet.data.assign(bytes + headerBytes, size - headerBytes);
    return endian::load_big_u16(header + 12) == packet.data.size();
}

} // namespace lab
