#include <anvilwalk/request.h>

#include <arpa/inet.h>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <optional>

namespace anvilwalk {

namespace {

    constexpr std::size_t ipHeaderBytes = sizeof(iphdr);
    constexpr unsigned ipVersion4 = 4;
    constexpr unsigned ipHeaderWords = 5;
    constexpr std::size_t minTcpHeaderWords = 5;
    constexpr std::size_t bytesPerWord = 4;
    // More-fragments flag and fragment offset of the IPv4 header.
    constexpr std::uint16_t fragmentMask = IP_MF | IP_OFFMASK;

    // Copies a header out of the packet, which may be unaligned. The caller has checked the size.
    template <class Header> Header readHeader(std::span<const std::uint8_t> bytes)
    {
        Header header;
        std::memcpy(&header, bytes.data(), sizeof(Header));
        return header;
    }

    std::optional<DropReason> checkIpHeader(const iphdr& ip, std::size_t size)
    {
        if (ip.version != ipVersion4)
            return DropReason::BadVersion;
        if (ip.ihl < ipHeaderWords)
            return DropReason::BadLength;
        if (ip.ihl > ipHeaderWords)
            return DropReason::IpOptions;
        const std::size_t totalLength = ntohs(ip.tot_len);
        if (totalLength > size)
            return DropReason::Truncated;
        if (totalLength < size || totalLength < ipHeaderBytes)
            return DropReason::BadLength;
        if ((ntohs(ip.frag_off) & fragmentMask) != 0)
            return DropReason::Fragment;
        return std::nullopt;
    }

    PacketKind kindOf(const tcphdr& tcp)
    {
        if (tcp.fin != 0 || tcp.rst != 0)
            return PacketKind::Closing;
        if (tcp.syn != 0 && tcp.ack == 0)
            return PacketKind::Opening;
        return PacketKind::Data;
    }

    struct TransportPorts {
        std::uint16_t source;
        std::uint16_t destination;
        PacketKind kind;
    };

    std::variant<TransportPorts, DropReason> parseTcp(std::span<const std::uint8_t> segment)
    {
        if (segment.size() < sizeof(tcphdr))
            return DropReason::Truncated;
        const auto tcp = readHeader<tcphdr>(segment);
        const std::size_t headerBytes = tcp.doff * bytesPerWord;
        if (tcp.doff < minTcpHeaderWords || headerBytes > segment.size())
            return DropReason::BadLength;
        return TransportPorts { .source = ntohs(tcp.source), .destination = ntohs(tcp.dest), .kind = kindOf(tcp) };
    }

    std::variant<TransportPorts, DropReason> parseUdp(std::span<const std::uint8_t> datagram)
    {
        if (datagram.size() < sizeof(udphdr))
            return DropReason::Truncated;
        const auto udp = readHeader<udphdr>(datagram);
        if (ntohs(udp.len) != datagram.size())
            return DropReason::BadLength;
        return TransportPorts {
            .source = ntohs(udp.source), .destination = ntohs(udp.dest), .kind = PacketKind::Datagram
        };
    }

    std::variant<TransportPorts, DropReason> parseTransport(
        std::uint8_t protocol, std::span<const std::uint8_t> payload)
    {
        if (protocol == IPPROTO_TCP)
            return parseTcp(payload);
        if (protocol == IPPROTO_UDP)
            return parseUdp(payload);
        return DropReason::UnsupportedProtocol;
    }

} // namespace

std::variant<PacketView, DropReason> PacketView::parse(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < ipHeaderBytes)
        return DropReason::Truncated;
    const auto ip = readHeader<iphdr>(bytes);
    if (const auto reason = checkIpHeader(ip, bytes.size()))
        return *reason;
    const auto transport = parseTransport(ip.protocol, bytes.subspan(ipHeaderBytes));
    if (const auto* reason = std::get_if<DropReason>(&transport))
        return *reason;
    const auto& ports = std::get<TransportPorts>(transport);
    const FlowKey key {
        .source = { ntohl(ip.saddr) },
        .destination = { ntohl(ip.daddr) },
        .sourcePort = ports.source,
        .destinationPort = ports.destination,
        .protocol = static_cast<Protocol>(ip.protocol),
    };
    return PacketView(bytes, PacketFields { .key = key, .kind = ports.kind });
}

} // namespace anvilwalk
