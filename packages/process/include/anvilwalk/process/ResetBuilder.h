#pragma once

#include <anvilwalk/request.h>

#include <array>
#include <cstdint>
#include <optional>

namespace anvilwalk {

inline constexpr std::size_t resetPacketBytes = 40;
using ResetPacket = std::array<std::uint8_t, resetPacketBytes>;

// Builds the TCP reset that refuses a connection, sent from the service's address to the client (RFC 9293, section
// 3.10.7.1). Returns nullopt for a packet that is not an opening TCP packet.
std::optional<ResetPacket> buildReset(const PacketView& opening);

} // namespace anvilwalk
