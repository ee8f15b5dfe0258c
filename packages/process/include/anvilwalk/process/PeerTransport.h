#pragma once

#include <anvilwalk/units.h>

#include <cstdint>
#include <functional>
#include <peer.pb.h>

namespace anvilwalk {

// Calls to other balancers. No call blocks. Every answer arrives on a thread of the backend, exactly once,
// no later than the deadline of the call.
class PeerTransport {
public:
    template <class T> using Handler = std::function<void(Result<T>)>;

    virtual ~PeerTransport() = default;

    // Sends on the heartbeat stream to a peer. A newer heartbeat replaces one that has not left yet.
    virtual void sendHeartbeat(const Ipv4Endpoint& peer, const peer::Heartbeat&) = 0;
    virtual void fetchState(const Ipv4Endpoint& peer, const peer::FetchStateRequest&, Handler<peer::FetchStateResponse>)
        = 0;
    virtual void fetchRecords(
        const Ipv4Endpoint& peer, const peer::FetchRecordsRequest&, Handler<peer::FetchRecordsResponse>)
        = 0;
    virtual void pushRecords(
        const Ipv4Endpoint& peer, const peer::PushRecordsRequest&, Handler<peer::PushRecordsResponse>)
        = 0;
    virtual void collectStatus(
        const Ipv4Endpoint& peer, const peer::CollectStatusRequest&, Handler<peer::BalancerStatus>)
        = 0;
    // Bytes of control messages sent since the start.
    virtual std::uint64_t bytesSent() const = 0;
};

// Receives the calls of other balancers. Called on threads of the backend, several at a time.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    // Heartbeats on a stream that was opened in an earlier epoch are refused, see PauseDetector.
    virtual std::uint64_t streamEpoch() = 0;
    virtual void handleHeartbeat(const peer::Heartbeat&) = 0;
    virtual peer::FetchStateResponse answerFetchState(const peer::FetchStateRequest&) = 0;
    virtual peer::FetchRecordsResponse answerFetchRecords(const peer::FetchRecordsRequest&) = 0;
    virtual peer::PushRecordsResponse answerPushRecords(const peer::PushRecordsRequest&) = 0;
    virtual peer::BalancerStatus answerCollectStatus(const peer::CollectStatusRequest&) = 0;
};

} // namespace anvilwalk
