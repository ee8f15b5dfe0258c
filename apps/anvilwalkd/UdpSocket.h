#pragma once

#include <anvilwalk/units.h>

#include <cstdint>

namespace anvilwalk {

// A non-blocking UDP socket.
class UdpSocket {
public:
    // Binds a socket; port 0 selects a free port. With sharePort, multiple sockets may bind the same port and the
    // kernel distributes flows among them (SO_REUSEPORT).
    static Result<UdpSocket> bind(const Ipv4Endpoint&, bool sharePort);

    UdpSocket(UdpSocket&&) noexcept;
    UdpSocket& operator=(UdpSocket&&) noexcept;
    ~UdpSocket();

    int descriptor() const { return m_descriptor; }
    Ipv4Endpoint localEndpoint() const;

private:
    explicit UdpSocket(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    int m_descriptor = -1;
};

} // namespace anvilwalk
