#include <anvilwalk/process/ResetBuilder.h>

#include <arpa/inet.h>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/tcp.h>

namespace anvilwalk {

namespace {

    constexpr std::uint8_t resetTtl = 64;
    constexpr std::size_t bytesPerWord = 4;

    static_assert(sizeof(iphdr) + sizeof(tcphdr) == resetPacketBytes);

    // Adds 16-bit words in network byte order for the Internet checksum. The size must be even.
    std::uint32_t sumWords(const void* data, std::size_t size, std::uint32_t sum = 0)
    {
        const auto* bytes = static_cast<const std::uint8_t*>(data);
        for (std::size_t at = 0; at + 1 < size; at += 2)
            sum += static_cast<std::uint32_t>(bytes[at] << 8 | bytes[at + 1]);
        return sum;
    }

    std::uint16_t finishChecksum(std::uint32_t sum)
    {
        while ((sum >> 16) != 0)
            sum = (sum & 0xffff) + (sum >> 16);
        return htons(static_cast<std::uint16_t>(~sum));
    }

    std::uint16_t tcpChecksum(const iphdr& ip, const tcphdr& tcp)
    {
        std::uint32_t sum = sumWords(&ip.saddr, sizeof(ip.saddr));
        sum = sumWords(&ip.daddr, sizeof(ip.daddr), sum);
        sum += IPPROTO_TCP + sizeof(tcphdr);
        return finishChecksum(sumWords(&tcp, sizeof(tcp), sum));
    }

    iphdr buildIpHeader(const FlowKey& key)
    {
        iphdr ip {};
        ip.version = 4;
        ip.ihl = sizeof(iphdr) / bytesPerWord;
        ip.tot_len = htons(resetPacketBytes);
        ip.ttl = resetTtl;
        ip.protocol = IPPROTO_TCP;
        ip.saddr = htonl(key.destination.value);
        ip.daddr = htonl(key.source.value);
        ip.check = finishChecksum(sumWords(&ip, sizeof(ip)));
        return ip;
    }

} // namespace

std::optional<ResetPacket> buildReset(const PacketView& opening)
{
    if (opening.kind() != PacketKind::Opening)
        return std::nullopt;
    const std::span<const std::uint8_t> bytes = opening.bytes();
    tcphdr request;
    std::memcpy(&request, bytes.data() + sizeof(iphdr), sizeof(request));
    const std::size_t payload = bytes.size() - sizeof(iphdr) - request.doff * bytesPerWord;

    const iphdr ip = buildIpHeader(opening.key());
    tcphdr tcp {};
    tcp.source = htons(opening.key().destinationPort);
    tcp.dest = htons(opening.key().sourcePort);
    // The SYN flag occupies one sequence number.
    tcp.ack_seq = htonl(static_cast<std::uint32_t>(ntohl(request.seq) + 1 + payload));
    tcp.doff = sizeof(tcphdr) / bytesPerWord;
    tcp.rst = 1;
    tcp.ack = 1;
    tcp.check = tcpChecksum(ip, tcp);

    ResetPacket packet;
    std::memcpy(packet.data(), &ip, sizeof(ip));
    std::memcpy(packet.data() + sizeof(ip), &tcp, sizeof(tcp));
    return packet;
}

} // namespace anvilwalk
