#include "EdgeBalancer.h"

#include "EdgeMetrics.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace anvilwalk {

namespace {

    namespace asio = boost::asio;

    constexpr std::string_view metricsPath = "/metrics";
    // Pause between two passes over flows, targets and tokens.
    constexpr std::chrono::milliseconds housekeepingInterval { 500 };
    // The fabric asks twice a second and takes a balancer out after two misses.
    constexpr std::chrono::milliseconds withdrawalTime { 1300 };
    // Longest time that packets wait for routes and targets after the start; clients give up an opening after 1.4 s.
    constexpr std::chrono::milliseconds longestViewWait { 1000 };
    // A stopping balancer ends once no packet has arrived for this long.
    constexpr std::chrono::milliseconds stopQuietTime { 400 };
    constexpr std::chrono::milliseconds stopCheckInterval { 100 };
    // Time before the stop deadline at which the process ends in any case.
    constexpr std::chrono::milliseconds stopMargin { 500 };
    // Time left after the longest watch to put a configuration in force.
    constexpr std::chrono::milliseconds configMargin { 2000 };

    // A connection that went silent is noticed before a configuration is due on a balancer that has been undisturbed.
    std::chrono::milliseconds watchWaitOf(const EdgeSettings& settings)
    {
        constexpr std::chrono::milliseconds shortest { 1000 };
        return std::max(shortest, settings.calmWindow + settings.configBound - configMargin);
    }

    // Bytes of a tracked flow with its place in the table, rounded up.
    constexpr std::size_t trackedFlowBytes = 192;
    // Shares of the process's memory: tracked flows, and packets that wait to be received.
    constexpr std::size_t trackedFlowsShare = 8;
    constexpr std::size_t receiveBufferShare = 16;
    constexpr std::size_t maxTrackedFlows = 50'000;
    constexpr std::size_t maxReceiveBufferBytes = 4'194'304;

    std::size_t memoryBytesOf(const EdgeSettings& settings)
    {
        constexpr std::size_t bytesPerMegabyte = 1'000'000;
        return settings.memoryMegabytes * bytesPerMegabyte;
    }

    std::size_t trackedFlowsOf(const EdgeSettings& settings)
    {
        return std::min(maxTrackedFlows, memoryBytesOf(settings) / trackedFlowsShare / trackedFlowBytes);
    }

    int receiveBufferBytesOf(const EdgeSettings& settings)
    {
        return static_cast<int>(std::min(maxReceiveBufferBytes, memoryBytesOf(settings) / receiveBufferShare));
    }

    StoreFeedOptions feedOptions(const EdgeSettings& settings, std::string_view feed)
    {
        StoreFeedOptions options;
        options.watchWait = watchWaitOf(settings);
        options.seed = hashText(settings.balancer.value(), hashText(feed));
        return options;
    }

    StoreFeedOptions targetFeedOptions(const EdgeSettings& settings)
    {
        StoreFeedOptions options = feedOptions(settings, "targets");
        // A target tells of its end in time, and one that is not known yet is found by the balancers that know it.
        options.allowStale = true;
        return options;
    }

} // namespace

EdgeBalancer::EdgeBalancer(const EdgeSettings& settings, asio::io_context& context, const EdgePlatform& platform,
    EventLog& log, const LineWriter& logWriter, const Clock& clock)
    : m_settings(settings)
    , m_context(context)
    , m_log(log)
    , m_logWriter(logWriter)
    , m_clock(clock)
    , m_decisions(log, platform.packets)
    , m_targets(TargetCatalogueOptions {}, m_decisions)
    , m_flows({ .capacity = trackedFlowsOf(settings) }, m_targets, m_decisions)
    , m_chooser({ .dataCentre = settings.dataCentre, .seed = hashText(settings.balancer.value()) })
    , m_router(TokenRouterOptions {}, m_targets, m_flows, m_chooser, m_decisions)
    , m_view(m_targets, m_router, log, clock)
    , m_packets({ .address = settings.packetAddress,
                    .clientPort = settings.packetAddress.port,
                    .receiveBufferBytes = receiveBufferBytesOf(settings) },
          context, platform.packets, m_router, m_decisions, clock)
    , m_readyServer({ .address = settings.readyAddress }, context,
          [this, path = platform.readyPath](std::string_view asked) -> std::optional<HttpReply> {
              if (asked != path)
                  return std::nullopt;
              constexpr unsigned ready = 200;
              constexpr unsigned notReady = 503;
              return HttpReply { .status = isReady() ? ready : notReady };
          })
    , m_metricsServer({ .address = settings.metricsAddress }, context,
          [this](std::string_view asked) -> std::optional<HttpReply> {
              if (asked != metricsPath)
                  return std::nullopt;
              return HttpReply { .body = currentMetrics() };
          })
    , m_targetFeed(targetFeedOptions(settings), context, platform.targets, m_view.targetObserver())
    , m_routeFeed(feedOptions(settings, "routes"), context, platform.routes, m_view.routeObserver())
    , m_peerFeed({ .self = settings.peerAddress.value_or(Ipv4Endpoint {}),
                     .seed = hashText(settings.balancer.value(), hashText("peers")) },
          context, platform.peerList, platform.peers, m_view)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_viewWait(context)
{
    m_decisions.setView(m_view);
    m_view.onComplete([this] { m_viewWait.cancel(); });
}

Status EdgeBalancer::start()
{
    Status status = m_packets.open();
    if (isOk(status))
        status = m_readyServer.open();
    if (!isOk(status))
        return status;
    status = startPeerServer();
    if (!isOk(status))
        return status;
    // Packets are served without metrics rather than not at all.
    const Status metrics = m_metricsServer.open();
    if (isOk(metrics))
        asio::co_spawn(m_context, m_metricsServer.run(), asio::detached);
    else
        m_log.write(EventKind::Process, "no_metrics", logField("error", std::string_view(errorOf(metrics).message)));
    asio::co_spawn(m_context, forwardPackets(), asio::detached);
    asio::co_spawn(m_context, m_readyServer.run(), asio::detached);
    asio::co_spawn(m_context, m_targetFeed.run(), asio::detached);
    asio::co_spawn(m_context, m_routeFeed.run(), asio::detached);
    asio::co_spawn(m_context, m_peerFeed.run(), asio::detached);
    asio::co_spawn(m_context, keepHouse(), asio::detached);
    asio::co_spawn(m_context, handleSignals(), asio::detached);
    return status;
}

Status EdgeBalancer::startPeerServer()
{
    if (!m_settings.peerAddress)
        return std::monostate {};
    m_peerServer = std::make_unique<EdgeHttpServer>(EdgeHttpServerOptions { .address = *m_settings.peerAddress },
        m_context, [this](std::string_view path) { return answerPeer(path); });
    Status status = m_peerServer->open();
    if (isOk(status))
        asio::co_spawn(m_context, m_peerServer->run(), asio::detached);
    return status;
}

std::optional<HttpReply> EdgeBalancer::answerPeer(std::string_view path) const
{
    constexpr unsigned notModified = 304;
    constexpr unsigned noView = 503;
    const auto asked = parseViewPath(path);
    if (!asked)
        return std::nullopt;
    if (!m_view.isComplete())
        return HttpReply { .status = noView };
    const KnownVersions own = m_view.knownVersions();
    if (own.targets <= asked->targets && own.config <= asked->config)
        return HttpReply { .status = notModified };
    return HttpReply { .body = encodeView(m_view.snapshot()), .contentType = "application/json" };
}

std::string EdgeBalancer::currentMetrics() const
{
    return renderMetrics({ .router = m_router.counters(),
        .packets = m_packets.counters(),
        .responses = m_decisions.responses(),
        .targets = m_targets.size(),
        .trackedFlows = m_flows.size(),
        .configVersion = m_router.routes() ? m_router.routes()->version().value() : 0,
        .targetsAge = m_view.targetsAge(),
        .routesAge = m_view.routesAge(),
        .logLinesLost = m_logWriter.linesLost(),
        .peerViewsTaken = m_view.peerViewsTaken() });
}

asio::awaitable<void> EdgeBalancer::forwardPackets()
{
    if (!m_view.isComplete()) {
        m_viewWait.expires_after(longestViewWait);
        boost::system::error_code complete;
        co_await m_viewWait.async_wait(asio::redirect_error(asio::use_awaitable, complete));
    }
    co_await m_packets.run();
}

asio::awaitable<void> EdgeBalancer::keepHouse()
{
    asio::steady_timer timer(m_context);
    for (;;) {
        timer.expires_after(housekeepingInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const MonotonicTime now = m_clock.now();
        if (m_router.routes())
            m_flows.setIdleTimeout(m_router.routes()->idleTimeout());
        m_flows.expire(now);
        m_targets.expire(now);
        m_router.expire(now);
        m_log.flush();
    }
}

asio::awaitable<void> EdgeBalancer::handleSignals()
{
    for (;;) {
        const int signal = co_await m_signals.async_wait(asio::use_awaitable);
        if (signal != SIGHUP)
            break;
        if (m_reload)
            m_reload();
    }
    co_await stop();
}

asio::awaitable<void> EdgeBalancer::stop()
{
    m_stopping = true;
    const MonotonicTime since = m_clock.now();
    m_log.write(EventKind::Process, "stopping");
    m_log.flush();
    const auto longest = m_settings.stopDeadline - std::min(stopMargin, m_settings.stopDeadline);
    asio::steady_timer timer(m_context);
    for (;;) {
        timer.expires_after(stopCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const MonotonicTime now = m_clock.now();
        const bool quiet = now - m_packets.lastPacket() >= stopQuietTime;
        if (now - since >= longest || (now - since >= withdrawalTime && quiet))
            break;
    }
    m_log.write(EventKind::Process, "stopped", logField("packets", m_packets.counters().received));
    m_log.flush();
    m_context.stop();
}

} // namespace anvilwalk
