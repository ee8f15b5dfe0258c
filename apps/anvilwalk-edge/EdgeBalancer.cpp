#include "EdgeBalancer.h"

#include "EdgeMetrics.h"
#include "EdgeTiming.h"
#include "WhereAnswer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <vector>

namespace anvilwalk {

namespace {

    namespace asio = boost::asio;

    constexpr std::string_view metricsPath = "/metrics";
    // Interval between two expiry passes over flows, targets and tokens.
    constexpr std::chrono::milliseconds housekeepingInterval { 500 };
    // A sender of messages that cannot be decoded usually sends one every second.
    constexpr std::chrono::minutes malformedLogInterval { 1 };
    // Time until the fabric has withdrawn this balancer: it probes twice a second and withdraws after two failed
    // probes.
    constexpr std::chrono::milliseconds withdrawalTime { 1300 };
    // Longest time that packets stay queued at startup until routes and targets are known; clients abandon an opening
    // after 1.4 s.
    constexpr std::chrono::milliseconds maxViewWait { 1000 };
    // A stopping balancer exits once no packet has arrived for this long.
    constexpr std::chrono::milliseconds stopIdleTime { 400 };
    constexpr std::chrono::milliseconds stopCheckInterval { 100 };
    // The process exits this long before the stop deadline in any case.
    constexpr std::chrono::milliseconds stopMargin { 500 };

    // Memory per tracked flow including its table entry, rounded up.
    constexpr std::size_t trackedFlowBytes = 192;
    // Fractions (1/n) of the memory limit for the flow table and the receive buffer of the packet socket.
    constexpr std::size_t flowTableMemoryDivisor = 8;
    constexpr std::size_t receiveBufferMemoryDivisor = 16;
    constexpr std::size_t maxTrackedFlows = 50'000;
    constexpr std::size_t maxReceiveBufferBytes = 4'194'304;

    std::size_t memoryBytesOf(const EdgeSettings& settings)
    {
        constexpr std::size_t bytesPerMegabyte = 1'000'000;
        return settings.memoryMegabytes * bytesPerMegabyte;
    }

    std::size_t flowCapacityOf(const EdgeSettings& settings)
    {
        return std::min(maxTrackedFlows, memoryBytesOf(settings) / flowTableMemoryDivisor / trackedFlowBytes);
    }

    int receiveBufferBytesOf(const EdgeSettings& settings)
    {
        return static_cast<int>(std::min(maxReceiveBufferBytes, memoryBytesOf(settings) / receiveBufferMemoryDivisor));
    }

    // Time to find a relay and read its view at startup, before the store is read.
    constexpr std::chrono::milliseconds relaySearchTime { 40 };
    // Time for relays to answer after a seed has told this balancer of its data centre's members.
    constexpr std::chrono::milliseconds relayAnswerTime { 10 };
    // Time to find a relay and read its view once one has been found.
    constexpr std::chrono::milliseconds relayReadTime { 300 };
    constexpr std::chrono::milliseconds relayCheckInterval { 5 };
    // How long an encoded view may be sent again; the age it states is too low by at most this time.
    constexpr std::chrono::milliseconds encodedViewLifetime { 200 };

    Member ownMember(const EdgeSettings& settings)
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return { .id = settings.balancer,
            .dataCentre = settings.dataCentre,
            .viewAddress = settings.peerAddress.value_or(Ipv4Endpoint {}),
            .startedMs
            = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()) };
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
        // The store's answers about routes tell up to which version targets must be known (RoutingView).
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
    , m_targets({ .minDrainTime = settings.drainBound }, m_decisions)
    , m_flows({ .capacity = flowCapacityOf(settings) }, m_targets, m_decisions)
    , m_chooser({ .dataCentre = settings.dataCentre, .seed = hashText(settings.balancer.value()) })
    , m_admission(
          { .dataCentre = settings.dataCentre, .seed = hashText(settings.balancer.value(), hashText("admission")) })
    , m_warmUp({ .balancer = settings.balancer,
          .dataCentre = settings.dataCentre,
          .factor = settings.warmUpFactor,
          .slack = settings.warmUpSlack,
          .startedAt = clock.now() })
    , m_router(TokenRouterOptions {}, m_targets, m_flows, m_chooser, m_decisions)
    , m_members(MemberListOptions {}, ownMember(settings))
    , m_view(viewOptionsOf(settings), m_targets, m_router, m_members, log, clock)
    , m_packets({ .address = settings.packetAddress,
                    .clientPort = settings.packetAddress.port,
                    .receiveBufferBytes = receiveBufferBytesOf(settings) },
          context, platform.packets, m_router, m_decisions, clock)
    , m_readyServer({ .address = settings.readyAddress }, context,
          [this, path = platform.readyPath](std::string_view requestPath) -> std::optional<HttpReply> {
              if (requestPath != path)
                  return std::nullopt;
              constexpr unsigned ready = 200;
              constexpr unsigned notReady = 503;
              return HttpReply { .status = isReady() ? ready : notReady };
          })
    , m_metricsServer({ .address = settings.metricsAddress }, context,
          [this](std::string_view path) { return handleMetricsRequest(path); })
    , m_targetFeed(targetFeedOptions(settings), context, platform.targets, m_view.targetObserver(), clock)
    , m_routeFeed(feedOptions(settings, "routes"), context, platform.routes, m_view.routeObserver(), clock)
    , m_evacuationFeed({ .seed = hashText(settings.balancer.value(), hashText("evacuations")) }, context,
          platform.evacuations, m_view.evacuations(), clock)
    , m_peerFeed({ .self = settings.peerAddress.value_or(Ipv4Endpoint {}),
                     .seed = hashText(settings.balancer.value(), hashText("peers")) },
          context, platform.peerList, platform.peers, m_view)
    , m_relayFeed(context, platform.peers, m_view, clock)
    , m_seeds(platform.peerList)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_viewTimer(context)
{
    m_decisions.setView(m_view);
    m_router.setAdmission(&m_admission);
    m_router.setWarmUpLimiter(&m_warmUp);
    m_view.onComplete([this] { m_viewTimer.cancel(); });
    m_view.onChange([this] { announceView(); });
    m_view.evacuations().onReadDue([this] { m_evacuationFeed.wake(); });
}

Status EdgeBalancer::start()
{
    Status status = m_packets.open();
    if (isOk(status))
        status = m_readyServer.open();
    if (!isOk(status))
        return status;
    status = startPeerServer();
    if (isOk(status))
        status = startMembership();
    if (isOk(status))
        status = startLoadExchange();
    if (!isOk(status))
        return status;
    // Without its metrics port the balancer still forwards packets.
    const Status metrics = m_metricsServer.open();
    if (isOk(metrics))
        asio::co_spawn(m_context, m_metricsServer.run(), asio::detached);
    else
        m_log.write(EventKind::Process, "no_metrics", logField("error", std::string_view(errorOf(metrics).message)));
    asio::co_spawn(m_context, forwardPackets(), asio::detached);
    asio::co_spawn(m_context, m_readyServer.run(), asio::detached);
    asio::co_spawn(m_context, startFeeds(), asio::detached);
    asio::co_spawn(m_context, m_peerFeed.run(), asio::detached);
    asio::co_spawn(m_context, runHousekeeping(), asio::detached);
    asio::co_spawn(m_context, handleSignals(), asio::detached);
    return status;
}

Status EdgeBalancer::startPeerServer()
{
    if (!m_settings.peerAddress)
        return std::monostate {};
    m_peerServer = std::make_unique<EdgeHttpServer>(EdgeHttpServerOptions { .address = *m_settings.peerAddress },
        m_context, [this](std::string_view path) { return handlePeerRequest(path); });
    Status status = m_peerServer->open();
    if (isOk(status))
        asio::co_spawn(m_context, m_peerServer->run(), asio::detached);
    return status;
}

Status EdgeBalancer::startMembership()
{
    if (!m_settings.heartbeatAddress)
        return std::monostate {};
    MembershipObserver& observer = *this;
    m_membership
        = std::make_unique<Membership>(*m_settings.heartbeatAddress, m_context, m_members, m_seeds, observer, m_clock);
    Status status = m_membership->open();
    if (!isOk(status))
        return status;
    asio::co_spawn(m_context, m_membership->receive(), asio::detached);
    asio::co_spawn(m_context, m_membership->run(), asio::detached);
    asio::co_spawn(m_context, m_relayFeed.run(), asio::detached);
    return status;
}

Status EdgeBalancer::startLoadExchange()
{
    if (!m_settings.loadReportAddress)
        return std::monostate {};
    m_loadExchange = std::make_unique<LoadExchange>(
        LoadExchangeOptions { .address = *m_settings.loadReportAddress }, m_context, m_members, m_targets, m_clock);
    m_loadExchange->onMalformed([this](const Error& error) { logMalformedLoadMessage(error); });
    Status status = m_loadExchange->open();
    if (!isOk(status))
        return status;
    asio::co_spawn(m_context, m_loadExchange->receive(), asio::detached);
    asio::co_spawn(m_context, m_loadExchange->run(), asio::detached);
    return status;
}

void EdgeBalancer::logMalformedLoadMessage(const Error& error)
{
    const MonotonicTime now = m_clock.now();
    if (m_malformedLoadLoggedAt != MonotonicTime() && now - m_malformedLoadLoggedAt < malformedLogInterval)
        return;
    m_malformedLoadLoggedAt = now;
    m_log.write(EventKind::Process, "load_message_malformed", logField("error", std::string_view(error.message)));
}

asio::awaitable<void> EdgeBalancer::startFeeds()
{
    const MonotonicTime start = m_clock.now();
    asio::steady_timer timer(m_context);
    while (mayGetRelayView(start)) {
        timer.expires_after(relayCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    asio::co_spawn(m_context, m_targetFeed.run(), asio::detached);
    asio::co_spawn(m_context, m_routeFeed.run(), asio::detached);
    if (m_view.evacuations().isEnabled())
        asio::co_spawn(m_context, m_evacuationFeed.run(), asio::detached);
}

bool EdgeBalancer::mayGetRelayView(MonotonicTime start) const
{
    if (!m_membership || m_view.isConfirmedByRelay())
        return false;
    const MonotonicTime now = m_clock.now();
    if (m_relayFeed.isFetching())
        return now - start < relayReadTime;
    const auto introduced = m_membership->protocol().introducedAt();
    const bool relaysAreSilent = introduced && (m_members.memberCount() == 1 || now - *introduced >= relayAnswerTime);
    return !relaysAreSilent && now - start < relaySearchTime;
}

OwnMemberState EdgeBalancer::ownMemberState() const
{
    return { .hasView = m_view.isComplete(),
        .leaving = m_stopping,
        .needsCurrentTargets = m_view.needsCurrentTargets(),
        .view = m_view.status() };
}

void EdgeBalancer::onRelayStatus(const Member& relay, const ViewStatus& status)
{
    m_view.recordRelayStatus(status);
    if (status.evacuations)
        m_view.evacuations().adopt(*status.evacuations, m_clock.now());
    m_relayFeed.handleStatus(relay, status);
}

void EdgeBalancer::announceView()
{
    m_members.setOwnState(m_view.isComplete(), m_stopping);
    if (m_membership && m_members.role() == MemberRole::Relay)
        m_membership->protocol().announce(m_clock.now());
}

std::optional<HttpReply> EdgeBalancer::handlePeerRequest(std::string_view path)
{
    constexpr unsigned notModified = 304;
    constexpr unsigned serviceUnavailable = 503;
    const auto peerVersions = parseViewPath(path);
    if (!peerVersions)
        return std::nullopt;
    if (!m_view.isComplete())
        return HttpReply { .status = serviceUnavailable };
    const KnownVersions own = m_view.knownVersions();
    if (own.targets <= peerVersions->targets && own.config <= peerVersions->config
        && m_view.evacuations().lastChange() <= peerVersions->evacuations)
        return HttpReply { .status = notModified };
    return HttpReply { .body = encodedView(*peerVersions), .contentType = "application/json" };
}

std::string EdgeBalancer::encodedView(const KnownVersions& peerVersions)
{
    const KnownVersions own = m_view.knownVersions();
    const MonotonicTime now = m_clock.now();
    if (!m_encodedView || m_encodedView->since != peerVersions || m_encodedView->version != own
        || now - m_encodedView->encodedAt >= encodedViewLifetime)
        m_encodedView = {
            .since = peerVersions, .version = own, .encodedAt = now, .body = encodeView(m_view.snapshot(peerVersions))
        };
    return m_encodedView->body;
}

std::optional<HttpReply> EdgeBalancer::handleMetricsRequest(std::string_view path) const
{
    constexpr unsigned badRequest = 400;
    if (path == metricsPath)
        return HttpReply { .body = currentMetrics() };
    if (!path.starts_with(wherePrefix))
        return std::nullopt;
    const auto query = parseWherePath(path);
    if (!query)
        return HttpReply { .status = badRequest,
            .body = "the path must be /v1/where/CLIENT/SERVICE, both as address:port\n",
            .contentType = "text/plain" };
    return HttpReply { .body = explainPlacement(*query), .contentType = "application/json" };
}

std::string EdgeBalancer::explainPlacement(const WhereQuery& query) const
{
    const MonotonicTime now = m_clock.now();
    const FlowKey flow { .source = query.client.address,
        .destination = query.service.address,
        .sourcePort = query.client.port,
        .destinationPort = query.service.port };
    // An input that was never confirmed has the age of the clock.
    const auto knownAge
        = [now](Duration age) { return age < now.time_since_epoch() ? std::optional<Duration>(age) : std::nullopt; };
    const EvacuationView& evacuations = m_view.evacuations();
    return encodeWhereAnswer(query, m_router.explain(flow, now),
        { .balancer = m_settings.balancer,
            .dataCentre = m_settings.dataCentre,
            .configVersion = m_router.routes() ? m_router.routes()->version() : ConfigVersion(),
            .targetsVersion = m_view.targetsVersion(),
            .targetsAge = knownAge(m_view.targetsAge()),
            .routesAge = knownAge(m_view.routesAge()),
            .evacuationsAge = evacuations.isEnabled() ? knownAge(evacuations.age()) : std::nullopt,
            .evacuatedDataCentres = evacuations.dataCentres(),
            .now = now });
}

std::string EdgeBalancer::currentMetrics() const
{
    return renderMetrics({ .router = m_router.counters(),
        .packets = m_packets.counters(),
        .responses = m_decisions.responses(),
        .targets = m_targets.size(),
        .trackedFlows = m_flows.size(),
        .configVersion = m_router.routes() ? m_router.routes()->version().value() : 0,
        .storeEra = m_view.storeEra(),
        .targetsAge = m_view.targetsAge(),
        .routesAge = m_view.routesAge(),
        .logLinesLost = m_logWriter.linesLost(),
        .peerViewsApplied = m_view.peerViewsApplied(),
        .members = m_members.memberCount(),
        .isRelay = m_members.role() == MemberRole::Relay,
        .evacuatedDataCentres = m_view.evacuations().dataCentres().size(),
        .sharedLoad = m_targets.sharedLoad(),
        .sharedLoadAge = m_clock.now() - m_targets.sharedLoad().takenAt,
        .loadMessages = m_loadExchange ? m_loadExchange->counters() : LoadExchangeCounters {},
        .refusedFlows = m_admission.refused(),
        .warmUpLimits = m_warmUp.limitedServices(),
        .coldOpenings = m_warmUp.openings() });
}

asio::awaitable<void> EdgeBalancer::forwardPackets()
{
    if (!m_view.isComplete()) {
        m_viewTimer.expires_after(maxViewWait);
        boost::system::error_code complete;
        co_await m_viewTimer.async_wait(asio::redirect_error(asio::use_awaitable, complete));
    }
    co_await m_packets.run();
}

asio::awaitable<void> EdgeBalancer::runHousekeeping()
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
        m_view.refresh();
        updateWarmUpLimiter(now);
        if (m_loadExchange)
            m_loadExchange->setEnabled(m_router.routes() && m_router.routes()->sharesLoad());
        m_log.flush();
    }
}

void EdgeBalancer::updateWarmUpLimiter(MonotonicTime now)
{
    m_warmUp.expire(now);
    if (m_warmUp.isActive()) {
        std::vector<BalancerId> members;
        // Other members do not count a balancer that stops.
        if (!m_stopping) {
            for (const Member& member : m_members.localMembers())
                members.push_back(member.id);
        }
        m_warmUp.setMembers(members, now);
    }
    const bool isCandidate = m_warmUp.isActive() && m_warmUp.isCandidate(now);
    if (m_warmUp.limitedServices() == m_loggedWarmUpLimits && isCandidate == m_loggedWarmUpCandidate)
        return;
    m_loggedWarmUpLimits = m_warmUp.limitedServices();
    m_loggedWarmUpCandidate = isCandidate;
    m_log.write(EventKind::Routes, "warm_up_limits", logField("services", m_loggedWarmUpLimits),
        logField("opens_flows", isCandidate ? 1 : 0));
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
    if (m_membership)
        m_membership->protocol().announce(m_clock.now());
    const auto maxWait = m_settings.stopDeadline - std::min(stopMargin, m_settings.stopDeadline);
    asio::steady_timer timer(m_context);
    for (;;) {
        timer.expires_after(stopCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const MonotonicTime now = m_clock.now();
        const bool idle = now - m_packets.lastPacket() >= stopIdleTime;
        if (now - since >= maxWait || (now - since >= withdrawalTime && idle))
            break;
    }
    m_packets.drain();
    m_log.write(EventKind::Process, "stopped", logField("packets", m_packets.counters().received));
    m_log.flush();
    m_context.stop();
}

} // namespace anvilwalk
