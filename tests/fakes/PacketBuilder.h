#pragma once

#include <anvilwalk/request.h>

#include <cstdint>
#include <vector>

namespace anvilwalk::fakes {

// TCP flags of a built packet.
struct TcpFlags {
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
};

// Builds a valid IPv4 packet with TCP for a flow.
std::vector<std::uint8_t> buildTcpPacket(
    const FlowKey&, const TcpFlags&, const std::vector<std::uint8_t>& payload = {}, std::uint32_t sequence = 0);

// Builds a valid IPv4 packet with UDP for a flow.
std::vector<std::uint8_t> buildUdpPacket(const FlowKey&, const std::vector<std::uint8_t>& payload = {});

} // namespace anvilwalk::fakes
