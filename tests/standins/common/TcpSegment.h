#pragma once

#include <anvilwalk/request.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace anvilwalk::standins {

// One TCP packet with the header fields that the mini TCP uses.
struct TcpSegment {
    FlowKey key;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::string payload;

    // Sequence numbers that the segment takes up.
    std::uint32_t length() const { return static_cast<std::uint32_t>(payload.size()) + (syn ? 1 : 0) + (fin ? 1 : 0); }
    // The whole IPv4 packet.
    std::vector<std::uint8_t> toPacket() const;
    // Nothing if the bytes are not one valid IPv4 packet with TCP.
    static std::optional<TcpSegment> parse(std::span<const std::uint8_t> packet);
};

// The key of the opposite direction.
FlowKey reversed(const FlowKey&);

// The reset that answers a segment of an unknown flow.
TcpSegment resetFor(const TcpSegment&);

} // namespace anvilwalk::standins
