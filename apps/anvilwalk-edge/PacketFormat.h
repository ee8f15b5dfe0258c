#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace anvilwalk {

// The format in which packets reach this balancer and leave it.
class PacketFormat {
public:
    virtual ~PacketFormat() = default;

    // Largest packet that is accepted, in bytes.
    virtual std::size_t maxPacketBytes() const = 0;
    // Bytes that go before a packet to a target.
    virtual std::size_t headroomBytes() const = 0;
    // Reads one packet.
    virtual std::variant<PacketView, DropReason> parse(std::span<const std::uint8_t>) const = 0;
    // Id of the request that starts in a packet's payload; empty if none does or its format has none.
    virtual std::string_view requestId(const PacketView&) const = 0;
    // Makes a received packet ready for its target. The span starts with the headroom.
    virtual void prepareForTarget(std::span<std::uint8_t> datagram, const ForwardToTarget&) const = 0;
    // Writes a reset that answers a client's packet; returns its size. The span holds maxPacketBytes.
    virtual std::size_t writeReset(const PacketFields& clientPacket, std::span<std::uint8_t> datagram) const = 0;
};

} // namespace anvilwalk
