#pragma once

#include <anvilwalk/request.h>

#include <cstddef>
#include <cstdint>
#include <relay.pb.h>
#include <span>
#include <variant>

namespace anvilwalk {

// A relayed packet that passed all checks. The view is valid as long as the message it was read from.
struct RelayedPacketView {
    RelayHeader header;
    PacketView packet;
};

// Largest header of a relayed packet on the wire, without the packet itself.
inline constexpr std::size_t maxRelayHeaderBytes = 256;

// Writes header and packet to the buffer. Returns the bytes written, or 0 if the buffer is too small. The
// message is scratch space that keeps its memory between calls.
std::size_t encodeRelayed(const RelayHeader&, std::span<const std::uint8_t> packet, relay::RelayedPacket& scratch,
    std::span<std::uint8_t> buffer);

// Reads a datagram from another balancer. Everything that no balancer sends is refused with BadRelayHeader, and
// a bad inner packet with its own reason. The view refers to the message.
std::variant<RelayedPacketView, DropReason> decodeRelayed(
    std::span<const std::uint8_t> datagram, relay::RelayedPacket& message);

} // namespace anvilwalk
