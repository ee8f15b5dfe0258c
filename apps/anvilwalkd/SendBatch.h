#pragma once

#include "ReceiveBatch.h"

#include <anvilwalk/units.h>

#include <netinet/in.h>

namespace anvilwalk {

// Collects datagrams and sends them in batches with sendmmsg.
class SendBatch {
public:
    SendBatch();
    SendBatch(const SendBatch&) = delete;
    SendBatch& operator=(const SendBatch&) = delete;

    bool full() const { return m_count == datagramsPerBatch; }
    std::size_t size() const { return m_count; }
    // Adds a datagram. The bytes must remain valid until the batch is sent or cleared. The batch must not be full.
    void add(const Ipv4Endpoint& to, std::span<const std::uint8_t> bytes);
    // Sends and removes all datagrams. Returns the number that the kernel did not accept.
    std::size_t send(int descriptor);
    void clear() { m_count = 0; }

private:
    std::array<sockaddr_in, datagramsPerBatch> m_addresses {};
    std::array<iovec, datagramsPerBatch> m_vectors {};
    std::array<mmsghdr, datagramsPerBatch> m_messages {};
    std::size_t m_count = 0;
};

} // namespace anvilwalk
