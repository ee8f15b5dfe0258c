#pragma once

#include <cstddef>
#include <cstdint>
#include <google/protobuf/message.h>

namespace anvilwalk {

// Maximum message size between peers, sized for the records of a balancer with a full flow table.
inline constexpr int maxMessageBytes = 64 << 20;

// Size of a message on the wire in bytes, including the gRPC message prefix (5 bytes) and the HTTP/2 frame header
// (9 bytes). The HTTP headers of the call are not counted.
inline std::uint64_t wireSize(const google::protobuf::Message& message)
{
    constexpr std::size_t framingBytes = 14;
    return message.ByteSizeLong() + framingBytes;
}

} // namespace anvilwalk
