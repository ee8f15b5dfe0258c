#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk::soak {

// Flags of a packet.
enum PacketFlag : std::uint8_t {
    Ack = 8,
    Reset = 16,
    Syn = 64,
    Fin = 128,
};

// A packet of the users' platform, as its clients and hosts see it. Written without the product's codec, so that a
// fault of that codec shows.
struct WirePacket {
    Ipv4Address source;
    Ipv4Address destination;
    std::uint16_t sourcePort = 0;
    std::uint16_t destinationPort = 0;
    std::uint8_t flags = 0;
    std::uint32_t token = 0;
    std::uint32_t sequence = 0;
    // Opening packets count their copies here.
    std::uint32_t acknowledgement = 0;
    std::string payload {};
    // As received; 0 in a reset of the system.
    std::uint32_t checksum = 0;

    bool has(PacketFlag flag) const { return (flags & flag) != 0; }
    // The client's side of the flow, for a packet that a client sent.
    FlowKey clientFlow() const;
    // The same flow, for a packet that a client received.
    FlowKey hostFlow() const;
};

// A checksum that the balancers do not know how to compute.
std::uint32_t checksumOf(const WirePacket&);

// Writes a packet with its checksum.
std::vector<std::uint8_t> encode(const WirePacket&);
std::optional<WirePacket> decode(std::span<const std::uint8_t>);

// Bytes before a packet that a balancer sends to a host: the key of the host it is meant for.
inline constexpr std::size_t hostPrefixBytes = 8;
std::uint64_t readHostPrefix(std::span<const std::uint8_t>);

// A request with its id, and the id in a request or response; 0 if there is none.
std::string requestText(std::uint64_t id);
std::string responseText(std::uint64_t id);
std::uint64_t requestIdIn(std::string_view text);

} // namespace anvilwalk::soak
