#include "UdpSocket.h"

#include <anvilwalk/units/SocketAddress.h>

#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace anvilwalk {

namespace {

    // Buffers packets that arrive while the thread is not scheduled. The kernel may grant less.
    constexpr int socketBufferBytes = 8 << 20;

    Error systemError(const std::string& what)
    {
        return { ErrorCode::Unavailable, what + ": " + std::strerror(errno) + "." };
    }

} // namespace

Result<UdpSocket> UdpSocket::bind(const Ipv4Endpoint& endpoint, bool sharePort)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return systemError("Cannot open a UDP socket");
    UdpSocket socket(descriptor);
    const int on = 1;
    if (sharePort && ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0)
        return systemError("Cannot share port of " + endpoint.toString());
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    const sockaddr_in address = toSocketAddress(endpoint);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        return systemError("Cannot bind " + endpoint.toString());
    return socket;
}

UdpSocket::UdpSocket(UdpSocket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

UdpSocket& UdpSocket::operator=(UdpSocket&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

UdpSocket::~UdpSocket()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

Ipv4Endpoint UdpSocket::localEndpoint() const
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return toEndpoint(address);
}

} // namespace anvilwalk
