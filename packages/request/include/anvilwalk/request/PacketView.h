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

// A checked IPv4 packet with TCP or UDP, read in place. It is valid as long as the bytes it was parsed from.
class PacketView {
public:
    // Checks every length before it reads. The span must hold exactly one packet.
    static std::variant<PacketView, DropReason> parse(std::span<const std::uint8_t> bytes);

    const FlowKey& key() const { return m_key; }
    PacketKind kind() const { return m_kind; }
    std::span<const std::uint8_t> bytes() const { return m_bytes; }

private:
    PacketView(std::span<const std::uint8_t> bytes, const FlowKey& key, PacketKind kind)
        : m_bytes(bytes)
        , m_key(key)
        , m_kind(kind)
    {
    }

    std::span<const std::uint8_t> m_bytes;
    FlowKey m_key;
    PacketKind m_kind;
};

} // namespace anvilwalk
