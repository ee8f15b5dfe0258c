#pragma once

#include <anvilwalk/process/grpc/GrpcPeerClient.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <optional>
#include <peer.grpc.pb.h>

namespace anvilwalk {

// Client side of one heartbeat stream to a peer.
class HeartbeatWriter final : public grpc::ClientWriteReactor<peer::Heartbeat> {
public:
    using Time = std::chrono::steady_clock::time_point;

    // Opens the stream. The writer holds a reference to itself until the call is done.
    static std::shared_ptr<HeartbeatWriter> open(
        peer::Peer::Stub&, const GrpcPeerClientOptions&, std::atomic<std::uint64_t>& bytesSent);

    // Sends a heartbeat, or stores it as pending while the stream is not ready; a newer heartbeat replaces the pending
    // one. Cancels a stream that makes no progress within streamTimeout and closes one past its streamLifetime.
    void send(const peer::Heartbeat&, Time now);
    // Cancels the stream without waiting for it to end.
    void cancel();
    // Blocks until the call is done.
    void join();

    // True if the stream accepts no more heartbeats.
    bool ended() const;
    // True if the peer accepted the stream, even if it has ended since.
    bool wasAccepted() const;
    // Removes and returns the heartbeat that was not sent, if any.
    std::optional<peer::Heartbeat> takePending();

    void OnReadInitialMetadataDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status&) override;

private:
    HeartbeatWriter(const GrpcPeerClientOptions&, std::atomic<std::uint64_t>& bytesSent);
    void startWrite();
    // Marks the stream as ended; m_mutex must be held. Returns true if the caller must call RemoveHold() after
    // releasing it.
    bool markEnded();

    const GrpcPeerClientOptions m_options;
    std::atomic<std::uint64_t>& m_bytesSent;
    grpc::ClientContext m_context;
    peer::HeartbeatSummary m_summary;
    // Keeps the writer alive until OnDone().
    std::shared_ptr<HeartbeatWriter> m_self;

    mutable std::mutex m_mutex;
    std::condition_variable m_doneCondition;
    peer::Heartbeat m_writing;
    std::optional<peer::Heartbeat> m_pending;
    Time m_openedAt;
    Time m_waitingSince;
    bool m_accepted = false;
    bool m_isWriting = false;
    bool m_closing = false;
    bool m_ended = false;
    bool m_done = false;
};

} // namespace anvilwalk
