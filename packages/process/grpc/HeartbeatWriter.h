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

// One heartbeat stream to a peer, from its opening to its end.
class HeartbeatWriter final : public grpc::ClientWriteReactor<peer::Heartbeat> {
public:
    using Time = std::chrono::steady_clock::time_point;

    // Opens the stream. It keeps itself alive until it has ended.
    static std::shared_ptr<HeartbeatWriter> open(
        peer::Peer::Stub&, const GrpcPeerClientOptions&, std::atomic<std::uint64_t>& bytesSent);

    // Sends a heartbeat, or keeps it until the stream can take it. Cuts a stream that makes no progress.
    void send(const peer::Heartbeat&, Time now);
    // Ends the stream at once.
    void cancel();
    // Waits until the stream has ended.
    void join();

    // The stream takes no more heartbeats.
    bool ended() const;
    // The peer accepted the stream at some time.
    bool wasAccepted() const;
    // The heartbeat that the stream ended with, if it did not leave.
    std::optional<peer::Heartbeat> takePending();

    void OnReadInitialMetadataDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status&) override;

private:
    HeartbeatWriter(const GrpcPeerClientOptions&, std::atomic<std::uint64_t>& bytesSent);
    void startWrite();
    // Lets the stream end; to be called with the lock held. True if the caller has to remove the hold.
    bool endStream();

    const GrpcPeerClientOptions m_options;
    std::atomic<std::uint64_t>& m_bytesSent;
    grpc::ClientContext m_context;
    peer::HeartbeatSummary m_summary;
    // Set until the stream is done.
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
