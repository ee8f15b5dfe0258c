#pragma once

#include <anvilwalk/request.h>

#include <cstddef>
#include <cstdint>
#include <relay.pb.h>
#include <span>
#include <variant>

namespace anvilwalk {

// A validated relayed packet. The view is valid as long as the message it was decoded from.
struct RelayedPacketView {
    RelayHeader header;
    PacketView packet;
};

// Maximum encoded size of the header of a relayed packet, without the packet itself.
inline constexpr std::size_t maxRelayHeaderBytes = 256;

// Encodes header and packet into the buffer. Returns the number of bytes written, or 0 if the buffer is too small.
// The scratch message is reused between calls to avoid allocations.
std::size_t encodeRelayed(const RelayHeader&, std::span<const std::uint8_t> packet, relay::RelayedPacket& scratch,
    std::span<std::uint8_t> buffer);

// Decodes a datagram from another balancer. Returns BadRelayHeader for an invalid message, or the reason given by
// PacketView::parse for an invalid inner packet. The view refers to the message.
std::variant<RelayedPacketView, DropReason> decodeRelayed(
    std::span<const std::uint8_t> datagram, relay::RelayedPacket& message);

} // namespace anvilwalk
