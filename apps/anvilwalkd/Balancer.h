#pragma once

#include "ControlLoop.h"
#include "FlowHousekeeper.h"
#include "HttpEndpoint.h"
#include "PacketTracer.h"
#include "PacketWorker.h"
#include "StatusSource.h"
#include "StatusWriter.h"
#include "TargetPoller.h"

#include <anvilwalk/process.h>
#include <anvilwalk/process/grpc/GrpcPeerClient.h>
#include <anvilwalk/process/grpc/GrpcPeerServer.h>

#include <memory>
#include <thread>
#include <vector>

namespace anvilwalk {

// The whole balancer process: sockets, threads, start and stop.
class Balancer final : private PeerHandler {
public:
    explicit Balancer(const Settings&);
    ~Balancer() override;
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;

    // Binds all addresses and starts all threads. An error names the address that is not available.
    Status start();
    // Serves until a requested stop is complete.
    void run();

private:
    // PeerHandler.
    std::uint64_t streamEpoch() override;
    void handleHeartbeat(const peer::Heartbeat&) override;
    peer::FetchStateResponse answerFetchState(const peer::FetchStateRequest&) override;
    peer::FetchRecordsResponse answerFetchRecords(const peer::FetchRecordsRequest&) override;
    peer::PushRecordsResponse answerPushRecords(const peer::PushRecordsRequest&) override;
    peer::BalancerStatus answerCollectStatus(const peer::CollectStatusRequest&) override;

    ControlPlaneOptions controllerOptions() const;
    Status bindWorkers();
    Status startStore();
    void startControl();
    void startPolling();
    StoreWatcherCallbacks storeCallbacks();
    std::vector<PolledTarget> polledTargets() const;
    HttpAnswer answerHttp(const std::string& path);
    std::uint64_t controlBytesSent() const;
    std::uint64_t sendFailures() const;
    void observeTargets();
    void awaitSignal();
    void handleSignal();
    void awaitStop();
    bool mayExit() const;
    void shutDown();

    const Settings m_settings;
    const SystemClock m_clock;
    const Incarnation m_incarnation;
    std::shared_ptr<FlowTable> m_flows;
    SlotRouter m_router;
    std::unique_ptr<PacketTracer> m_tracer;
    std::vector<std::unique_ptr<PacketWorker>> m_workers;
    std::vector<std::thread> m_workerThreads;

    std::shared_ptr<ObjectStore> m_store;
    std::unique_ptr<GrpcPeerClient> m_peerClient;
    std::unique_ptr<ControlLoop> m_control;
    std::unique_ptr<StatusSource> m_statusSource;
    std::unique_ptr<GrpcPeerServer> m_peerServer;
    std::unique_ptr<StoreWatcher> m_storeWatcher;
    std::unique_ptr<StatusWriter> m_statusWriter;
    std::unique_ptr<FlowHousekeeper> m_housekeeper;

    boost::asio::io_context m_context { 1 };
    boost::asio::signal_set m_signals { m_context };
    boost::asio::steady_timer m_stopTimer { m_context };
    boost::asio::steady_timer m_observeTimer { m_context };
    Metrics m_metrics;
    std::unique_ptr<HttpEndpoint> m_http;
    std::unique_ptr<TargetPoller> m_poller;
    MonotonicTime m_stopDeadline;
    bool m_stopping = false;
};

} // namespace anvilwalk
