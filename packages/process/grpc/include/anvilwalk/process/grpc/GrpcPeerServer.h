#pragma once

#include <anvilwalk/process/PeerTransport.h>

#include <cstdint>
#include <memory>

namespace anvilwalk {

// Serves the calls of other balancers over gRPC.
class GrpcPeerServer {
public:
    // Listens at once; port 0 takes a free port. The handler must outlive the server.
    GrpcPeerServer(const Ipv4Endpoint& listen, PeerHandler&);
    // Ends all calls.
    ~GrpcPeerServer();
    GrpcPeerServer(const GrpcPeerServer&) = delete;
    GrpcPeerServer& operator=(const GrpcPeerServer&) = delete;

    // False if the address could not be bound.
    bool listening() const;
    std::uint16_t port() const;
    // Bytes of answers sent since the start.
    std::uint64_t bytesSent() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk
