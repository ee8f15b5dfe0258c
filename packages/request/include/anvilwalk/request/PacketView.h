#pragma once

#include <anvilwalk/request/DropReason.h>
#include <anvilwalk/request/FlowKey.h>

#include <cstdint>
#include <span>
#include <variant>

namespace anvilwalk {

// Role of a packet in the life of its flow.
enum class PacketKind {
    // TCP SYN without ACK.
    Opening,
    // TCP FIN or RST.
    Closing,
    // Any other TCP packet.
    Data,
    // UDP: an opening packet cannot be told from a later one.
    Datagram,
};

// What a router reads of a packet. Fields that a packet format does not have keep their defaults.
struct PacketFields {
    FlowKey key {};
    PacketKind kind = PacketKind::Data;
    // The packet is an RST; it is never answered.
    bool reset = false;
    // Token that the sender last received on the flow.
    FlowToken token {};
    // For an opening packet: how many copies of it the client sent before.
    std::uint32_t openingCopy = 0;
    // First byte of the payload and next byte expected from the target, both modulo 2^32.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t payloadBytes = 0;
};

// A checked packet, read in place. It is valid as long as the bytes it was parsed from.
class PacketView {
public:
    // A packet that another codec has checked.
    PacketView(std::span<const std::uint8_t> bytes, const PacketFields& fields)
        : m_bytes(bytes)
        , m_fields(fields)
    {
    }

    // Reads an IPv4 packet with TCP or UDP. Checks every length before it reads. The span must hold exactly one
    // packet.
    static std::variant<PacketView, DropReason> parse(std::span<const std::uint8_t> bytes);

    const FlowKey& key() const { return m_fields.key; }
    PacketKind kind() const { return m_fields.kind; }
    const PacketFields& fields() const { return m_fields; }
    std::span<const std::uint8_t> bytes() const { return m_bytes; }

private:
    std::span<const std::uint8_t> m_bytes;
    PacketFields m_fields;
};

} // namespace anvilwalk
