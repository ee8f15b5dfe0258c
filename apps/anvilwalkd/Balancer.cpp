#include "Balancer.h"

#include <anvilwalk/process/objectapi/HttpObjectStore.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace anvilwalk {

namespace {

    constexpr std::chrono::milliseconds stopCheckInterval { 50 };
    constexpr std::chrono::milliseconds observeInterval { 500 };
    // No packet for this long means that the fabric has stopped sending here.
    constexpr std::chrono::seconds quietBeforeExit { 1 };
    constexpr unsigned httpUnavailable = 503;
    constexpr unsigned httpNotFound = 404;

    // Later runs of a balancer have higher incarnations, since the machine's clock has moved on.
    Incarnation newIncarnation()
    {
        const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
        return Incarnation(
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(unixTime).count()));
    }

} // namespace

Balancer::Balancer(const Settings& settings)
    : m_settings(settings)
    , m_incarnation(newIncarnation())
    , m_flows(std::make_shared<FlowTable>(FlowTableOptions { .capacity = settings.flowCapacity }))
    , m_router(SlotRouterOptions {}, m_flows)
    , m_metrics([this] { return m_statusSource->metrics(); })
{
}

Balancer::~Balancer() { shutDown(); }

Status Balancer::start()
{
    if (!m_settings.traceOutput.empty())
        m_tracer = std::make_unique<PacketTracer>(PacketTracerOptions { .balancer = m_settings.balancer,
            .sampleEvery = m_settings.traceSampleEvery,
            .output = m_settings.traceOutput });
    if (Status status = bindWorkers(); !isOk(status))
        return status;
    if (Status status = startStore(); !isOk(status))
        return status;
    m_peerClient = std::make_unique<GrpcPeerClient>();
    m_control = std::make_unique<ControlLoop>(
        ControlLoopOptions { .controller = controllerOptions() }, m_flows, m_router, *m_peerClient, m_store, m_clock);
    m_statusSource = std::make_unique<StatusSource>(StatusSourceOptions {
        .balancer = m_settings.balancer,
        .incarnation = m_incarnation,
        .control = *m_control,
        .router = m_router,
        .flows = m_flows,
        .clock = m_clock,
        .controlBytesSent = [this] { return controlBytesSent(); },
        .sendFailures = [this] { return sendFailures(); },
    });
    m_peerServer = std::make_unique<GrpcPeerServer>(m_settings.controlAddress, static_cast<PeerHandler&>(*this));
    if (!m_peerServer->listening())
        return Error { ErrorCode::Unavailable, "Cannot listen on " + m_settings.controlAddress.toString() + "." };
    m_http = std::make_unique<HttpEndpoint>(m_context, [this](const std::string& path) { return answerHttp(path); });
    if (Status status = m_http->listen(m_settings.metricsAddress); !isOk(status))
        return status;
    for (const auto& worker : m_workers)
        m_workerThreads.emplace_back([&worker] { worker->run(); });
    startControl();
    startPolling();
    observeTargets();
    awaitSignal();
    logInfo(LogComponent::App,
        "Balancer " + m_settings.balancer.value() + " serves " + m_settings.packetAddress.toString() + ".");
    return std::monostate {};
}

void Balancer::run() { m_context.run(); }

ControlPlaneOptions Balancer::controllerOptions() const
{
    ControlPlaneOptions options;
    options.self = m_settings.balancer;
    options.incarnation = m_incarnation;
    options.dataCentre = m_settings.dataCentre;
    options.packetEndpoint = m_settings.packetAddress;
    options.relayEndpoint = m_settings.relayAddress;
    options.controlEndpoint = m_settings.controlAddress;
    options.seeds = m_settings.seeds;
    options.stopDeadline = m_settings.drainDeadline;
    return options;
}

Status Balancer::bindWorkers()
{
    const PacketWorkerOptions options {
        .router = m_router,
        .clock = m_clock,
        .countDrop = [this](DropReason reason) { m_router.countDrop(reason); },
        .refusalGateway = m_settings.refusalGateway,
        .tracer = m_tracer.get(),
    };
    for (std::uint32_t index = 0; index < m_settings.threads; ++index) {
        Result<UdpSocket> packets = UdpSocket::bind(m_settings.packetAddress, true);
        if (!isOk(packets))
            return errorOf(packets);
        Result<UdpSocket> relayed = UdpSocket::bind(m_settings.relayAddress, true);
        if (!isOk(relayed))
            return errorOf(relayed);
        m_workers.push_back(
            std::make_unique<PacketWorker>(options, std::move(valueOf(packets)), std::move(valueOf(relayed))));
    }
    return std::monostate {};
}

Status Balancer::startStore()
{
    const auto endpoint = HttpObjectStore::parseUrl(m_settings.platformUrl);
    if (!isOk(endpoint))
        return errorOf(endpoint);
    m_store = std::make_shared<HttpObjectStore>(
        HttpObjectStoreOptions { .endpoint = valueOf(endpoint), .callDeadline = m_settings.platformTimeout });
    return std::monostate {};
}

StoreWatcherCallbacks Balancer::storeCallbacks()
{
    return {
        .onConfig = [this](ConfigSnapshotPointer config) { m_control->handleConfig(std::move(config)); },
        .onTable
        = [this](const table::TableSet& table, StoreVersion version) { m_control->handleTable(table, version); },
        .onVmList = [this](const std::vector<VmEntry>& list) { m_control->handleVmList(list); },
        .onLease = [this](const WriterLease& lease) { m_control->handleLease(lease); },
        .onReachable =
            [this](bool reachable) {
                logInfo(LogComponent::Store,
                    reachable ? "The object API is reachable." : "The object API is not reachable.");
                m_control->handleStoreReachable(reachable);
            },
        .onProblem = [](const std::string& problem) { logWarn(LogComponent::Store, problem); },
    };
}

void Balancer::startControl()
{
    m_storeWatcher = std::make_unique<StoreWatcher>(m_store,
        StoreWatcherOptions { .dataCentre = m_settings.dataCentre,
            .retry = {},
            .seed = hashText(m_settings.balancer.value(), m_incarnation.value()) },
        storeCallbacks());
    m_statusWriter = std::make_unique<StatusWriter>(
        StatusWriterOptions { .self = m_settings.balancer, .dataCentre = m_settings.dataCentre }, *m_control,
        *m_peerClient, m_store, [this] { return m_statusSource->status(); });
    m_housekeeper
        = std::make_unique<FlowHousekeeper>(m_flows, m_router, m_clock, [this] { return m_control->routingState(); });
    m_control->start([this](bool watch) { m_storeWatcher->setWatching(watch); });
}

void Balancer::startPolling()
{
    m_poller = std::make_unique<TargetPoller>(
        m_context, TargetPollerOptions {}, [this] { return polledTargets(); },
        [this](const TargetReport& report) {
            m_statusWriter->noteTargetReport(report);
            m_control->handleTargetReport(report);
        });
    m_poller->start();
}

std::vector<PolledTarget> Balancer::polledTargets() const
{
    std::vector<PolledTarget> targets;
    const RoutingStatePointer state = m_control->routingState();
    if (!state || !state->table)
        return targets;
    for (const auto& [service, slots] : state->table->services()) {
        for (const auto& [id, target] : slots.targets) {
            if (!target.healthUrl.empty())
                targets.push_back({ .target = id, .healthUrl = target.healthUrl });
        }
    }
    return targets;
}

HttpAnswer Balancer::answerHttp(const std::string& path)
{
    if (path == "/metrics")
        return { .contentType = "text/plain; version=0.0.4; charset=utf-8", .body = m_metrics.text() };
    if (path == "/health")
        return { .body = "ok\n" };
    if (path != "/ready")
        return { .status = httpNotFound, .body = "Use /metrics, /health or /ready.\n" };
    if (m_stopping || !m_control->ready())
        return { .status = httpUnavailable, .body = "not ready\n" };
    return { .body = "ready\n" };
}

std::uint64_t Balancer::controlBytesSent() const { return m_peerClient->bytesSent() + m_peerServer->bytesSent(); }

std::uint64_t Balancer::sendFailures() const
{
    std::uint64_t sum = 0;
    for (const auto& worker : m_workers)
        sum += worker->sendFailures();
    return sum;
}

std::uint64_t Balancer::streamEpoch() { return m_control->streamEpoch(); }

void Balancer::handleHeartbeat(const peer::Heartbeat& heartbeat) { m_control->handleHeartbeat(heartbeat); }

peer::FetchStateResponse Balancer::answerFetchState(const peer::FetchStateRequest& request)
{
    return m_control->answerFetchState(request);
}

peer::FetchRecordsResponse Balancer::answerFetchRecords(const peer::FetchRecordsRequest& request)
{
    return m_control->answerFetchRecords(request);
}

peer::PushRecordsResponse Balancer::answerPushRecords(const peer::PushRecordsRequest& request)
{
    return m_control->answerPushRecords(request);
}

peer::BalancerStatus Balancer::answerCollectStatus(const peer::CollectStatusRequest& /*request*/)
{
    return m_statusSource->status();
}

// Hands what the packet threads saw of the targets to the controller, again and again.
void Balancer::observeTargets()
{
    for (const auto& worker : m_workers) {
        for (const TargetObservation& observation : worker->takeObservations())
            m_control->handleTargetObservation(observation);
    }
    m_observeTimer.expires_after(observeInterval);
    m_observeTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            observeTargets();
    });
}

void Balancer::awaitSignal()
{
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    m_signals.async_wait([this](const boost::system::error_code& error, int) {
        if (!error)
            handleSignal();
    });
}

void Balancer::handleSignal()
{
    if (m_stopping) {
        logWarn(LogComponent::App, "Second signal; the process ends at once.");
        std::_Exit(EXIT_FAILURE);
    }
    logInfo(LogComponent::App, "Graceful stop.");
    m_stopping = true;
    m_stopDeadline = m_clock.now() + m_settings.drainDeadline;
    m_control->requestStop();
    awaitSignal();
    awaitStop();
}

void Balancer::awaitStop()
{
    m_stopTimer.expires_after(stopCheckInterval);
    m_stopTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (mayExit())
            m_context.stop();
        else
            awaitStop();
    });
}

bool Balancer::mayExit() const
{
    const MonotonicTime now = m_clock.now();
    if (now >= m_stopDeadline) {
        logWarn(LogComponent::App, "Drain deadline passed.");
        return true;
    }
    const bool quiet = std::all_of(m_workers.begin(), m_workers.end(),
        [&](const auto& worker) { return now - worker->lastPacket() >= quietBeforeExit; });
    return quiet && m_control->stopComplete();
}

// Ends the parts in an order in which no part calls one that is gone.
void Balancer::shutDown()
{
    m_poller.reset();
    m_http.reset();
    if (m_control)
        m_control->stop();
    m_storeWatcher.reset();
    m_statusWriter.reset();
    m_housekeeper.reset();
    m_peerServer.reset();
    m_peerClient.reset();
    m_statusSource.reset();
    m_control.reset();
    for (const auto& worker : m_workers)
        worker->stop();
    for (std::thread& thread : m_workerThreads)
        thread.join();
}

} // namespace anvilwalk
