#pragma once

#include <anvilwalk/process/PeerTransport.h>

#include <chrono>
#include <memory>

namespace anvilwalk {

struct GrpcPeerClientOptions {
    // Deadline of each unary call.
    std::chrono::milliseconds callDeadline { 2000 };
    // Time after which a heartbeat stream is cancelled if the peer has not accepted it or a write has not completed.
    // Also the minimum connection timeout of the channel.
    std::chrono::milliseconds streamTimeout { 1500 };
    // Time after which a heartbeat stream is closed gracefully and reopened.
    std::chrono::milliseconds streamLifetime { 60'000 };
    // Bounds of the delay before a stream is reopened: a random value up to a limit that doubles with each failure.
    std::chrono::milliseconds initialBackoff { 200 };
    std::chrono::milliseconds maxBackoff { 3000 };
    // Time without sends or calls after which the connection to a peer is removed.
    std::chrono::milliseconds peerIdleTimeout { 60'000 };
};

// gRPC client for calls to other balancers. Thread-safe.
class GrpcPeerClient final : public PeerTransport {
public:
    explicit GrpcPeerClient(const GrpcPeerClientOptions& = {});
    // Cancels all calls and waits for their handlers to return.
    ~GrpcPeerClient() override;
    GrpcPeerClient(const GrpcPeerClient&) = delete;
    GrpcPeerClient& operator=(const GrpcPeerClient&) = delete;

    void sendHeartbeat(const Ipv4Endpoint& peer, const peer::Heartbeat&) override;
    void fetchState(
        const Ipv4Endpoint& peer, const peer::FetchStateRequest&, Handler<peer::FetchStateResponse>) override;
    void fetchRecords(
        const Ipv4Endpoint& peer, const peer::FetchRecordsRequest&, Handler<peer::FetchRecordsResponse>) override;
    void pushRecords(
        const Ipv4Endpoint& peer, const peer::PushRecordsRequest&, Handler<peer::PushRecordsResponse>) override;
    void collectStatus(
        const Ipv4Endpoint& peer, const peer::CollectStatusRequest&, Handler<peer::BalancerStatus>) override;
    std::uint64_t bytesSent() const override;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk
