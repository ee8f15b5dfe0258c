#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace anvilwalk {

// Datagrams that are read or written with one system call. 64 spread the cost of the call well below that of
// a datagram.
inline constexpr std::size_t datagramsPerBatch = 64;
// Room for a jumbo frame and the header of a relayed packet.
inline constexpr std::size_t maxDatagramBytes = 9'472;

// Reads many datagrams with one system call.
class ReceiveBatch {
public:
    ReceiveBatch();
    ReceiveBatch(const ReceiveBatch&) = delete;
    ReceiveBatch& operator=(const ReceiveBatch&) = delete;

    // Reads what is there without waiting. Returns the number of datagrams; the former ones are overwritten.
    std::size_t receive(int descriptor);
    // Bytes of a datagram of the last read.
    std::span<const std::uint8_t> datagram(std::size_t index) const;
    // The datagram was longer than the buffer.
    bool truncated(std::size_t index) const;

private:
    std::vector<std::uint8_t> m_bytes;
    std::array<iovec, datagramsPerBatch> m_vectors {};
    std::array<mmsghdr, datagramsPerBatch> m_messages {};
};

} // namespace anvilwalk
