#include "TcpSegment.h"

#include <arpa/inet.h>
#include <cstring>
#include <fakes/PacketBuilder.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <variant>

namespace anvilwalk::standins {

std::vector<std::uint8_t> TcpSegment::toPacket() const
{
    const std::vector<std::uint8_t> bytes(payload.begin(), payload.end());
    auto packet = fakes::buildTcpPacket(key, { .syn = syn, .ack = ack, .fin = fin, .rst = rst }, bytes, sequence);
    const std::uint32_t number = htonl(acknowledgement);
    std::memcpy(packet.data() + sizeof(iphdr) + offsetof(tcphdr, ack_seq), &number, sizeof(number));
    return packet;
}

std::optional<TcpSegment> TcpSegment::parse(std::span<const std::uint8_t> packet)
{
    const auto parsed = PacketView::parse(packet);
    const auto* view = std::get_if<PacketView>(&parsed);
    if (view == nullptr || view->key().protocol != Protocol::Tcp)
        return std::nullopt;
    tcphdr header {};
    std::memcpy(&header, packet.data() + sizeof(iphdr), sizeof(header));
    const std::size_t begin = sizeof(iphdr) + static_cast<std::size_t>(header.doff) * 4;
    if (begin > packet.size())
        return std::nullopt;
    TcpSegment segment;
    segment.key = view->key();
    segment.syn = header.syn != 0;
    segment.ack = header.ack != 0;
    segment.fin = header.fin != 0;
    segment.rst = header.rst != 0;
    segment.sequence = ntohl(header.seq);
    segment.acknowledgement = ntohl(header.ack_seq);
    segment.payload.assign(packet.begin() + static_cast<std::ptrdiff_t>(begin), packet.end());
    return segment;
}

FlowKey reversed(const FlowKey& key)
{
    return { .source = key.destination,
        .destination = key.source,
        .sourcePort = key.destinationPort,
        .destinationPort = key.sourcePort,
        .protocol = key.protocol };
}

TcpSegment resetFor(const TcpSegment& segment)
{
    TcpSegment reset;
    reset.key = reversed(segment.key);
    reset.rst = true;
    if (segment.ack) {
        reset.sequence = segment.acknowledgement;
    } else {
        reset.ack = true;
        reset.acknowledgement = segment.sequence + segment.length();
    }
    return reset;
}

} // namespace anvilwalk::standins
