#pragma once

#include <anvilwalk/request.h>

#include <cstdint>
#include <vector>

namespace anvilwalk::fakes {

// Flags of the TCP header.
struct TcpFlags {
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
};

// Builds an IPv4 packet of the flow with a TCP segment. Checksums are left at 0.
std::vector<std::uint8_t> buildTcpPacket(
    const FlowKey&, const TcpFlags&, const std::vector<std::uint8_t>& payload = {}, std::uint32_t sequence = 0);

// Builds an IPv4 packet of the flow with a UDP datagram. Checksums are left at 0.
std::vector<std::uint8_t> buildUdpPacket(const FlowKey&, const std::vector<std::uint8_t>& payload = {});

} // namespace anvilwalk::fakes
