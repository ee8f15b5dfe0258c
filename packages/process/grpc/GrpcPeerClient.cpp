#include <anvilwalk/process/grpc/GrpcPeerClient.h>

#include "GrpcLibrary.h"
#include "HeartbeatWriter.h"
#include "WireSize.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <vector>

namespace anvilwalk {

namespace {

    using Time = HeartbeatWriter::Time;

    Error toError(const grpc::Status& status, const Ipv4Endpoint& peer)
    {
        const std::string message = "Peer " + peer.toString() + ": " + status.error_message() + ".";
        if (status.error_code() == grpc::StatusCode::UNAVAILABLE)
            return { ErrorCode::Unavailable, message };
        if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED
            || status.error_code() == grpc::StatusCode::CANCELLED)
            return { ErrorCode::Unknown, message };
        return { ErrorCode::Internal, message };
    }

    grpc::ChannelArguments channelArguments(const GrpcPeerClientOptions& options)
    {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(maxMessageBytes);
        arguments.SetMaxSendMessageSize(maxMessageBytes);
        // The channel reconnects on its own with exponential backoff and jitter between these bounds.
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(options.initialBackoff.count()));
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(options.maxBackoff.count()));
        // Also bounds the duration of a single connection attempt.
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(options.streamTimeout.count()));
        // Disables subchannel sharing, so that removing an idle peer closes its connection.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        // Balancers connect to each other directly; ignores proxy settings from the environment.
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        return arguments;
    }

    // Channel, heartbeat stream and reconnect state of one peer.
    struct PeerConnection {
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<peer::Peer::Stub> stub;
        std::shared_ptr<HeartbeatWriter> writer;
        std::uint32_t failures = 0;
        Time nextOpenTime;
        Time lastUsed;
    };

    // State of a unary call in progress.
    template <class Request, class Response> struct UnaryCall {
        grpc::ClientContext context;
        Request request;
        Response response;
    };

} // namespace

class GrpcPeerClient::Implementation {
public:
    explicit Implementation(const GrpcPeerClientOptions& options)
        : m_options(options)
        , m_random(std::random_device {}())
    {
        keepGrpcInitialised();
    }

    ~Implementation();
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    void sendHeartbeat(const Ipv4Endpoint& peer, const peer::Heartbeat& heartbeat);
    std::uint64_t bytesSent() const { return m_bytesSent; }

    // Starts a unary call. The method is a member function of the stub's asynchronous interface.
    template <class Request, class Response, class Method>
    void call(const Ipv4Endpoint& peer, const Request& request, Handler<Response> handler, Method method);

private:
    std::shared_ptr<PeerConnection> connectionTo(const Ipv4Endpoint& peer, Time now);
    void reopen(PeerConnection&, Time now);
    void removeIdlePeers(Time now);
    Time::duration backoff(std::uint32_t failures);
    void endCall(grpc::ClientContext*);

    const GrpcPeerClientOptions m_options;
    std::atomic<std::uint64_t> m_bytesSent { 0 };
    std::mutex m_mutex;
    std::condition_variable m_callEnded;
    std::map<Ipv4Endpoint, std::shared_ptr<PeerConnection>> m_peers;
    // Streams that were replaced or belonged to an idle peer, and have not ended yet.
    std::vector<std::shared_ptr<HeartbeatWriter>> m_endingWriters;
    absl::flat_hash_set<grpc::ClientContext*> m_calls;
    std::minstd_rand m_random;
    bool m_stopped = false;
};

GrpcPeerClient::Implementation::~Implementation()
{
    std::vector<std::shared_ptr<HeartbeatWriter>> writers;
    {
        std::unique_lock lock(m_mutex);
        m_stopped = true;
        for (grpc::ClientContext* context : m_calls)
            context->TryCancel();
        m_callEnded.wait(lock, [this] { return m_calls.empty(); });
        writers = std::move(m_endingWriters);
        for (const auto& [endpoint, connection] : m_peers) {
            if (connection->writer)
                writers.push_back(connection->writer);
        }
    }
    for (const auto& writer : writers)
        writer->cancel();
    for (const auto& writer : writers)
        writer->join();
}

std::shared_ptr<PeerConnection> GrpcPeerClient::Implementation::connectionTo(const Ipv4Endpoint& peer, Time now)
{
    std::shared_ptr<PeerConnection>& connection = m_peers[peer];
    if (!connection) {
        connection = std::make_shared<PeerConnection>();
        connection->channel = grpc::CreateCustomChannel(
            "ipv4:" + peer.toString(), grpc::InsecureChannelCredentials(), channelArguments(m_options));
        connection->stub = peer::Peer::NewStub(connection->channel);
    }
    connection->lastUsed = now;
    return connection;
}

void GrpcPeerClient::Implementation::sendHeartbeat(const Ipv4Endpoint& peer, const peer::Heartbeat& heartbeat)
{
    const Time now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    if (m_stopped)
        return;
    const std::shared_ptr<PeerConnection> connection = connectionTo(peer, now);
    if (!connection->writer || connection->writer->ended())
        reopen(*connection, now);
    if (connection->writer)
        connection->writer->send(heartbeat, now);
    // send() ends the stream if it has timed out or exceeded its lifetime.
    if (connection->writer && connection->writer->ended())
        reopen(*connection, now);
    removeIdlePeers(now);
}

void GrpcPeerClient::Implementation::reopen(PeerConnection& connection, Time now)
{
    std::optional<peer::Heartbeat> pending;
    if (connection.writer) {
        pending = connection.writer->takePending();
        connection.failures = connection.writer->wasAccepted() ? 0 : connection.failures + 1;
        if (connection.failures > 0)
            connection.nextOpenTime = now + backoff(connection.failures);
        m_endingWriters.push_back(std::exchange(connection.writer, nullptr));
    }
    if (now < connection.nextOpenTime)
        return;
    connection.writer = HeartbeatWriter::open(*connection.stub, m_options, m_bytesSent);
    if (pending)
        connection.writer->send(*pending, now);
}

Time::duration GrpcPeerClient::Implementation::backoff(std::uint32_t failures)
{
    constexpr std::uint32_t maxDoublings = 10;
    const auto limit
        = std::min(m_options.maxBackoff, m_options.initialBackoff * (1 << std::min(failures - 1, maxDoublings)));
    std::uniform_int_distribution<std::int64_t> distribution(0, limit.count());
    return std::chrono::milliseconds(distribution(m_random));
}

void GrpcPeerClient::Implementation::removeIdlePeers(Time now)
{
    std::erase_if(m_endingWriters, [](const auto& writer) { return writer.use_count() == 1; });
    std::erase_if(m_peers, [&](const auto& entry) {
        PeerConnection& connection = *entry.second;
        if (now - connection.lastUsed < m_options.peerIdleTimeout)
            return false;
        if (connection.writer) {
            connection.writer->cancel();
            m_endingWriters.push_back(connection.writer);
        }
        return true;
    });
}

template <class Request, class Response, class Method>
void GrpcPeerClient::Implementation::call(
    const Ipv4Endpoint& peer, const Request& request, Handler<Response> handler, Method method)
{
    auto call = std::make_shared<UnaryCall<Request, Response>>();
    call->request = request;
    call->context.set_deadline(std::chrono::system_clock::now() + m_options.callDeadline);
    std::shared_ptr<PeerConnection> connection;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped)
            return;
        connection = connectionTo(peer, std::chrono::steady_clock::now());
        m_calls.insert(&call->context);
    }
    m_bytesSent += wireSize(request);
    auto done = [this, call, connection, peer, handler = std::move(handler)](const grpc::Status& status) {
        if (status.ok())
            handler(std::move(call->response));
        else
            handler(toError(status, peer));
        endCall(&call->context);
    };
    (connection->stub->async()->*method)(&call->context, &call->request, &call->response, std::move(done));
}

void GrpcPeerClient::Implementation::endCall(grpc::ClientContext* context)
{
    const std::lock_guard lock(m_mutex);
    m_calls.erase(context);
    m_callEnded.notify_all();
}

GrpcPeerClient::GrpcPeerClient(const GrpcPeerClientOptions& options)
    : m_implementation(std::make_unique<Implementation>(options))
{
}

GrpcPeerClient::~GrpcPeerClient() = default;

void GrpcPeerClient::sendHeartbeat(const Ipv4Endpoint& peer, const peer::Heartbeat& heartbeat)
{
    m_implementation->sendHeartbeat(peer, heartbeat);
}

// The stub overloads each method for callbacks and reactors; this type selects the callback overload.
template <class Request, class Response>
using CallbackMethod = void (peer::Peer::Stub::async::*)(
    grpc::ClientContext*, const Request*, Response*, std::function<void(grpc::Status)>);

void GrpcPeerClient::fetchState(
    const Ipv4Endpoint& peer, const peer::FetchStateRequest& request, Handler<peer::FetchStateResponse> handler)
{
    const CallbackMethod<peer::FetchStateRequest, peer::FetchStateResponse> method
        = &peer::Peer::Stub::async::FetchState;
    m_implementation->call(peer, request, std::move(handler), method);
}

void GrpcPeerClient::fetchRecords(
    const Ipv4Endpoint& peer, const peer::FetchRecordsRequest& request, Handler<peer::FetchRecordsResponse> handler)
{
    const CallbackMethod<peer::FetchRecordsRequest, peer::FetchRecordsResponse> method
        = &peer::Peer::Stub::async::FetchRecords;
    m_implementation->call(peer, request, std::move(handler), method);
}

void GrpcPeerClient::pushRecords(
    const Ipv4Endpoint& peer, const peer::PushRecordsRequest& request, Handler<peer::PushRecordsResponse> handler)
{
    const CallbackMethod<peer::PushRecordsRequest, peer::PushRecordsResponse> method
        = &peer::Peer::Stub::async::PushRecords;
    m_implementation->call(peer, request, std::move(handler), method);
}

void GrpcPeerClient::collectStatus(
    const Ipv4Endpoint& peer, const peer::CollectStatusRequest& request, Handler<peer::BalancerStatus> handler)
{
    const CallbackMethod<peer::CollectStatusRequest, peer::BalancerStatus> method
        = &peer::Peer::Stub::async::CollectStatus;
    m_implementation->call(peer, request, std::move(handler), method);
}

std::uint64_t GrpcPeerClient::bytesSent() const { return m_implementation->bytesSent(); }

} // namespace anvilwalk
