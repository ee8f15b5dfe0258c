#pragma once

#include "ReceiveBatch.h"

#include <anvilwalk/units.h>

#include <netinet/in.h>

namespace anvilwalk {

// Collects datagrams and writes them with one system call.
class SendBatch {
public:
    SendBatch();
    SendBatch(const SendBatch&) = delete;
    SendBatch& operator=(const SendBatch&) = delete;

    bool full() const { return m_count == datagramsPerBatch; }
    std::size_t size() const { return m_count; }
    // Adds a datagram. The bytes must stay until the batch is sent or cleared. The batch must not be full.
    void add(const Ipv4Endpoint& to, std::span<const std::uint8_t> bytes);
    // Writes and removes all datagrams. Returns how many the kernel did not take.
    std::size_t send(int descriptor);
    void clear() { m_count = 0; }

private:
    std::array<sockaddr_in, datagramsPerBatch> m_addresses {};
    std::array<iovec, datagramsPerBatch> m_vectors {};
    std::array<mmsghdr, datagramsPerBatch> m_messages {};
    std::size_t m_count = 0;
};

} // namespace anvilwalk
