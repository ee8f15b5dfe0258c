#pragma once

#include <anvilwalk/process/PeerTransport.h>

#include <chrono>
#include <memory>

namespace anvilwalk {

struct GrpcPeerClientOptions {
    // Deadline of each call with one answer.
    std::chrono::milliseconds callDeadline { 2000 };
    // A heartbeat stream that is not accepted, or a heartbeat that does not leave, within this time is cut.
    std::chrono::milliseconds streamTimeout { 1500 };
    // A heartbeat stream is closed in order and opened again after this time.
    std::chrono::milliseconds streamLifetime { 60'000 };
    // Wait before a stream is opened again: a random part of a time that doubles with each failure.
    std::chrono::milliseconds firstBackoff { 200 };
    std::chrono::milliseconds mostBackoff { 3000 };
    // A peer that nothing is sent to for this long is forgotten.
    std::chrono::milliseconds forgetAfter { 60'000 };
};

// Calls other balancers over gRPC. Safe for use by several threads.
class GrpcPeerClient final : public PeerTransport {
public:
    explicit GrpcPeerClient(const GrpcPeerClientOptions& = {});
    // Cancels all calls and waits for their handlers.
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
