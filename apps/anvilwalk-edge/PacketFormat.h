#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace anvilwalk {

// Wire format of the packets that a balancer receives and sends.
class PacketFormat {
public:
    virtual ~PacketFormat() = default;

    // Largest packet that is accepted, in bytes.
    virtual std::size_t maxPacketBytes() const = 0;
    // Bytes reserved in front of a packet for the prefix that targets expect.
    virtual std::size_t headroomBytes() const = 0;
    // Parses one packet; returns the reason to drop it if it is malformed.
    virtual std::variant<PacketView, DropReason> parse(std::span<const std::uint8_t>) const = 0;
    // Id of the request that starts in a packet's payload; empty if no request starts there or the format has no ids.
    virtual std::string_view requestId(const PacketView&) const = 0;
    // Rewrites a received packet in place for its target. The span starts with the headroom.
    virtual void prepareForTarget(std::span<std::uint8_t> datagram, const ForwardToTarget&) const = 0;
    // Writes a reset in reply to a client's packet and returns its size in bytes. The span has at least maxPacketBytes.
    virtual std::size_t writeReset(const PacketFields& clientPacket, std::span<std::uint8_t> datagram) const = 0;
};

} // namespace anvilwalk
