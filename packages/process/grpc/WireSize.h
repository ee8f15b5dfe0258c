#pragma once

#include <cstddef>
#include <cstdint>
#include <google/protobuf/message.h>

namespace anvilwalk {

// Largest message that peers exchange: the records of a balancer with a full flow table.
inline constexpr int maxMessageBytes = 64 << 20;

// Bytes of a message on the wire: 5 of the gRPC prefix and 9 of the HTTP/2 frame are added. The headers of a
// call are not counted.
inline std::uint64_t wireSize(const google::protobuf::Message& message)
{
    constexpr std::size_t framingBytes = 14;
    return message.ByteSizeLong() + framingBytes;
}

} // namespace anvilwalk
