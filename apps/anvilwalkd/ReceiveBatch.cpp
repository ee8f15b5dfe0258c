#include "ReceiveBatch.h"

namespace anvilwalk {

ReceiveBatch::ReceiveBatch()
    : m_bytes(datagramsPerBatch * maxDatagramBytes)
{
    for (std::size_t index = 0; index < datagramsPerBatch; ++index) {
        m_vectors[index] = { .iov_base = m_bytes.data() + index * maxDatagramBytes, .iov_len = maxDatagramBytes };
        m_messages[index].msg_hdr.msg_iov = &m_vectors[index];
        m_messages[index].msg_hdr.msg_iovlen = 1;
    }
}

std::size_t ReceiveBatch::receive(int descriptor)
{
    const int count = ::recvmmsg(descriptor, m_messages.data(), datagramsPerBatch, MSG_DONTWAIT, nullptr);
    return count < 0 ? 0 : static_cast<std::size_t>(count);
}

std::span<const std::uint8_t> ReceiveBatch::datagram(std::size_t index) const
{
    return { m_bytes.data() + index * maxDatagramBytes, m_messages[index].msg_len };
}

bool ReceiveBatch::truncated(std::size_t index) const { return (m_messages[index].msg_hdr.msg_flags & MSG_TRUNC) != 0; }

} // namespace anvilwalk
