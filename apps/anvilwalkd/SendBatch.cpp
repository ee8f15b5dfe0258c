#include "SendBatch.h"

#include <anvilwalk/units/SocketAddress.h>

#include <cerrno>

namespace anvilwalk {

SendBatch::SendBatch()
{
    for (std::size_t index = 0; index < datagramsPerBatch; ++index) {
        msghdr& header = m_messages[index].msg_hdr;
        header.msg_name = &m_addresses[index];
        header.msg_namelen = sizeof(sockaddr_in);
        header.msg_iov = &m_vectors[index];
        header.msg_iovlen = 1;
    }
}

void SendBatch::add(const Ipv4Endpoint& to, std::span<const std::uint8_t> bytes)
{
    m_addresses[m_count] = toSocketAddress(to);
    // sendmmsg only reads the bytes, but iovec has no const variant.
    m_vectors[m_count] = { .iov_base = const_cast<std::uint8_t*>(bytes.data()), .iov_len = bytes.size() };
    ++m_count;
}

std::size_t SendBatch::send(int descriptor)
{
    std::size_t sent = 0;
    std::size_t failed = 0;
    while (sent + failed < m_count) {
        const std::size_t done = sent + failed;
        const int written
            = ::sendmmsg(descriptor, &m_messages[done], static_cast<unsigned>(m_count - done), MSG_DONTWAIT);
        if (written > 0)
            sent += static_cast<std::size_t>(written);
        else if (errno == EAGAIN || errno == EWOULDBLOCK)
            failed = m_count - sent;
        else if (errno != EINTR)
            ++failed; // Only the first datagram failed; the rest may succeed.
    }
    m_count = 0;
    return failed;
}

} // namespace anvilwalk
