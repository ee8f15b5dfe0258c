#include <anvilwalk/process/grpc/GrpcPeerServer.h>

#include "GrpcLibrary.h"
#include "WireSize.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

namespace anvilwalk {

namespace {

    // Time that calls in progress have to complete when the server shuts down.
    constexpr std::chrono::milliseconds shutdownGrace { 200 };

    // Server side of the heartbeat stream from one peer.
    class HeartbeatReader final : public grpc::ServerReadReactor<peer::Heartbeat> {
    public:
        HeartbeatReader(PeerHandler& handler, peer::HeartbeatSummary& summary)
            : m_handler(handler)
            , m_summary(summary)
            , m_epoch(handler.streamEpoch())
        {
            // The client waits for the initial metadata before its first write, so no heartbeat on the stream predates
            // its epoch.
            StartSendInitialMetadata();
            StartRead(&m_heartbeat);
        }

        void OnReadDone(bool ok) override
        {
            if (!ok) {
                Finish(grpc::Status::OK);
                return;
            }
            if (m_handler.streamEpoch() != m_epoch) {
                Finish({ grpc::StatusCode::UNAVAILABLE, "The stream was opened before a pause." });
                return;
            }
            m_handler.handleHeartbeat(m_heartbeat);
            m_summary.set_received(m_summary.received() + 1);
            StartRead(&m_heartbeat);
        }

        void OnDone() override { delete this; }

    private:
        PeerHandler& m_handler;
        peer::HeartbeatSummary& m_summary;
        std::uint64_t m_epoch;
        peer::Heartbeat m_heartbeat;
    };

} // namespace

class GrpcPeerServer::Implementation final : public peer::Peer::CallbackService {
public:
    Implementation(const Ipv4Endpoint& listen, PeerHandler& handler)
        : m_handler(handler)
    {
        keepGrpcInitialised();
        int port = 0;
        grpc::ServerBuilder builder;
        // With SO_REUSEPORT, two processes could bind the port and each would receive part of the heartbeats.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.SetMaxReceiveMessageSize(maxMessageBytes);
        builder.SetMaxSendMessageSize(maxMessageBytes);
        builder.AddListeningPort(listen.toString(), grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        m_port = static_cast<std::uint16_t>(port);
    }

    ~Implementation() override
    {
        if (!m_server)
            return;
        m_server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
        m_server->Wait();
    }

    bool listening() const { return m_server && m_port != 0; }
    std::uint16_t port() const { return m_port; }
    std::uint64_t bytesSent() const { return m_bytesSent; }

    grpc::ServerReadReactor<peer::Heartbeat>* Heartbeats(
        grpc::CallbackServerContext* /*context*/, peer::HeartbeatSummary* summary) override
    {
        return new HeartbeatReader(m_handler, *summary);
    }

    grpc::ServerUnaryReactor* FetchState(grpc::CallbackServerContext* context, const peer::FetchStateRequest* request,
        peer::FetchStateResponse* response) override
    {
        *response = m_handler.answerFetchState(*request);
        return finish(context, *response);
    }

    grpc::ServerUnaryReactor* FetchRecords(grpc::CallbackServerContext* context,
        const peer::FetchRecordsRequest* request, peer::FetchRecordsResponse* response) override
    {
        *response = m_handler.answerFetchRecords(*request);
        return finish(context, *response);
    }

    grpc::ServerUnaryReactor* PushRecords(grpc::CallbackServerContext* context, const peer::PushRecordsRequest* request,
        peer::PushRecordsResponse* response) override
    {
        *response = m_handler.answerPushRecords(*request);
        return finish(context, *response);
    }

    grpc::ServerUnaryReactor* CollectStatus(grpc::CallbackServerContext* context,
        const peer::CollectStatusRequest* request, peer::BalancerStatus* response) override
    {
        *response = m_handler.answerCollectStatus(*request);
        return finish(context, *response);
    }

private:
    grpc::ServerUnaryReactor* finish(grpc::CallbackServerContext* context, const google::protobuf::Message& response)
    {
        m_bytesSent += wireSize(response);
        grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    PeerHandler& m_handler;
    std::unique_ptr<grpc::Server> m_server;
    std::uint16_t m_port = 0;
    std::atomic<std::uint64_t> m_bytesSent { 0 };
};

GrpcPeerServer::GrpcPeerServer(const Ipv4Endpoint& listen, PeerHandler& handler)
    : m_implementation(std::make_unique<Implementation>(listen, handler))
{
}

GrpcPeerServer::~GrpcPeerServer() = default;

bool GrpcPeerServer::listening() const { return m_implementation->listening(); }

std::uint16_t GrpcPeerServer::port() const { return m_implementation->port(); }

std::uint64_t GrpcPeerServer::bytesSent() const { return m_implementation->bytesSent(); }

} // namespace anvilwalk
