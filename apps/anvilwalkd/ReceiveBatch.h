#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace anvilwalk {

// Maximum number of datagrams per system call. With 64, the share of the call's cost per datagram is well below the
// cost of the datagram itself.
inline constexpr std::size_t datagramsPerBatch = 64;
// Fits a jumbo frame plus the header of a relayed packet.
inline constexpr std::size_t maxDatagramBytes = 9'472;

// Receives multiple datagrams with one system call.
class ReceiveBatch {
public:
    ReceiveBatch();
    ReceiveBatch(const ReceiveBatch&) = delete;
    ReceiveBatch& operator=(const ReceiveBatch&) = delete;

    // Receives queued datagrams without blocking, overwriting the previous batch. Returns their number, 0 on error.
    std::size_t receive(int descriptor);
    // Bytes of a datagram of the last batch.
    std::span<const std::uint8_t> datagram(std::size_t index) const;
    // True if the datagram exceeded the buffer.
    bool truncated(std::size_t index) const;

private:
    std::vector<std::uint8_t> m_bytes;
    std::array<iovec, datagramsPerBatch> m_vectors {};
    std::array<mmsghdr, datagramsPerBatch> m_messages {};
};

} // namespace anvilwalk
