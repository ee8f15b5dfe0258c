#include "PacketBuilder.h"

#include <arpa/inet.h>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

namespace anvilwalk::fakes {

namespace {

    constexpr std::uint8_t defaultTtl = 64;

    std::vector<std::uint8_t> buildIpPacket(const FlowKey& key, const std::vector<std::uint8_t>& segment)
    {
        iphdr ip {};
        ip.version = 4;
        ip.ihl = sizeof(iphdr) / 4;
        ip.tot_len = htons(static_cast<std::uint16_t>(sizeof(iphdr) + segment.size()));
        ip.ttl = defaultTtl;
        ip.protocol = static_cast<std::uint8_t>(key.protocol);
        ip.saddr = htonl(key.source.value);
        ip.daddr = htonl(key.destination.value);
        std::vector<std::uint8_t> packet(sizeof(iphdr) + segment.size());
        std::memcpy(packet.data(), &ip, sizeof(ip));
        std::memcpy(packet.data() + sizeof(ip), segment.data(), segment.size());
        return packet;
    }

    template <class Header>
    std::vector<std::uint8_t> joinHeader(const Header& header, const std::vector<std::uint8_t>& payload)
    {
        std::vector<std::uint8_t> segment(sizeof(Header) + payload.size());
        std::memcpy(segment.data(), &header, sizeof(Header));
        if (!payload.empty())
            std::memcpy(segment.data() + sizeof(Header), payload.data(), payload.size());
        return segment;
    }

} // namespace

std::vector<std::uint8_t> buildTcpPacket(
    const FlowKey& key, const TcpFlags& flags, const std::vector<std::uint8_t>& payload, std::uint32_t sequence)
{
    tcphdr tcp {};
    tcp.source = htons(key.sourcePort);
    tcp.dest = htons(key.destinationPort);
    tcp.seq = htonl(sequence);
    tcp.doff = sizeof(tcphdr) / 4;
    tcp.syn = flags.syn ? 1 : 0;
    tcp.ack = flags.ack ? 1 : 0;
    tcp.fin = flags.fin ? 1 : 0;
    tcp.rst = flags.rst ? 1 : 0;
    return buildIpPacket(key, joinHeader(tcp, payload));
}

std::vector<std::uint8_t> buildUdpPacket(const FlowKey& key, const std::vector<std::uint8_t>& payload)
{
    udphdr udp {};
    udp.source = htons(key.sourcePort);
    udp.dest = htons(key.destinationPort);
    udp.len = htons(static_cast<std::uint16_t>(sizeof(udphdr) + payload.size()));
    return buildIpPacket(key, joinHeader(udp, payload));
}

} // namespace anvilwalk::fakes
