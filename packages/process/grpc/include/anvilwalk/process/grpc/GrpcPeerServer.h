#pragma once

#include <anvilwalk/process/PeerTransport.h>

#include <cstdint>
#include <memory>

namespace anvilwalk {

// gRPC server for calls from other balancers.
class GrpcPeerServer {
public:
    // Starts listening; port 0 selects a free port. The handler must outlive the server.
    GrpcPeerServer(const Ipv4Endpoint& listen, PeerHandler&);
    // Shuts the server down. Calls that do not complete within a short grace period are cancelled.
    ~GrpcPeerServer();
    GrpcPeerServer(const GrpcPeerServer&) = delete;
    GrpcPeerServer& operator=(const GrpcPeerServer&) = delete;

    // False if the address could not be bound.
    bool listening() const;
    std::uint16_t port() const;
    // Bytes of responses sent since the server started.
    std::uint64_t bytesSent() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk
