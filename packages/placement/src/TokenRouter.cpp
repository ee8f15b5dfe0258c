#include <anvilwalk/placement/TokenRouter.h>

#include <algorithm>
#include <utility>

namespace anvilwalk {

namespace {

    // Chooses the service of a new flow by weight. The choice depends only on the flow key, so retransmissions of an
    // opening packet go to the same service.
    const ServiceName& pickService(const Route& route, const FlowKey& key)
    {
        if (route.services.size() == 1)
            return route.services.front().service;
        std::uint64_t total = 0;
        for (const WeightedService& choice : route.services)
            total += choice.weight;
        std::uint64_t position = key.hash() % total;
        for (const WeightedService& choice : route.services) {
            if (position < choice.weight)
                return choice.service;
            position -= choice.weight;
        }
        return route.services.back().service;
    }

    double requestsPerSlot(const Target& target)
    {
        const TargetActivity& activity = target.activity;
        const double requests
            = activity.requestsInProgress + activity.pendingOpenings + target.shared.requestsInProgress;
        return requests / std::max<std::uint32_t>(target.record.slots, 1);
    }

    ForwardToTarget forwardTo(const Target& target)
    {
        return { .target = {},
            .tunnel = target.record.address,
            .service = {},
            .token = target.token,
            .targetKey = target.record.key };
    }

} // namespace

TokenRouter::TokenRouter(const TokenRouterOptions& options, TargetCatalogue& targets, FlowTracker& flows,
    TargetChooser& chooser, PlacementObserver& observer)
    : m_options(options)
    , m_targets(targets)
    , m_flows(flows)
    , m_chooser(chooser)
    , m_observer(observer)
{
}

void TokenRouter::setRoutes(RouteTablePointer routes)
{
    if (m_routes && routes->version() <= m_routes->version())
        return;
    updateWithdrawnAddresses(*routes);
    m_routes = std::move(routes);
    if (m_admission != nullptr)
        m_admission->setRoutes(*m_routes);
    if (m_warmUp != nullptr)
        m_warmUp->setRoutes(*m_routes);
}

void TokenRouter::setWarmUpLimiter(WarmUpLimiter* limiter)
{
    m_warmUp = limiter;
    m_chooser.setWarmUpLimiter(limiter);
}

void TokenRouter::updateWithdrawnAddresses(const RouteTable& next)
{
    if (!m_routes)
        return;
    // Flows at a forgotten address end as soon as the routes are confirmed again.
    if (m_withdrawnAddresses.size() >= m_options.maxWithdrawnAddresses)
        m_withdrawnAddresses.clear();
    for (const Route& route : m_routes->routes()) {
        if (next.find(route.address) == nullptr)
            m_withdrawnAddresses.insert(route.address);
    }
    for (const Route& route : next.routes())
        m_withdrawnAddresses.erase(route.address);
}

Decision TokenRouter::route(const PacketView& packet, MonotonicTime now)
{
    const PacketFields& fields = packet.fields();
    if (fields.kind == PacketKind::Opening)
        return placeNewFlow(fields, now);
    return routeOpenFlow(fields, now);
}

Decision TokenRouter::placeNewFlow(const PacketFields& fields, MonotonicTime now)
{
    if (!m_routes)
        return drop(fields, DropReason::StaleState);
    const Route* route = m_routes->find(fields.key.serviceAddress());
    if (route == nullptr)
        return reset(fields, DropReason::UnknownAddress);
    m_unconfirmedFlows.erase(fields.key);
    if (fields.openingCopy > 0) {
        m_flows.recordRetransmittedOpening(fields.key, now);
        ++m_counters.retransmittedOpenings;
    }
    const ServiceName& service = pickService(*route, fields.key);
    const auto& targets = m_targets.targetsOf(service);
    const TriedTargets tried = m_flows.triedTargets(fields.key);
    // A target may have accepted the flow of a copy that was forwarded before.
    const bool isNew = tried.count == 0 && fields.openingCopy == 0;
    if (isNew && m_admission != nullptr && !m_admission->admit(*route, service, targets, m_targets.sharedLoad(), now))
        return reset(fields, DropReason::NewFlowLimit);
    const Target* target = m_chooser.choose(targets, tried, now);
    if (target == nullptr) {
        // The flow may be open at the target that its first packet went to, so a copy is not answered by a reset.
        if (isHeldBackByWarmUp(targets, tried, now))
            return drop(fields, DropReason::NoTarget);
        return reset(fields, DropReason::NoTarget);
    }
    if (m_warmUp != nullptr)
        m_warmUp->recordOpening(*target, now);
    m_observer.onPlaced(
        { .flow = fields.key, .copy = fields.openingCopy, .target = *target, .candidates = targets.size() });
    m_flows.recordOpening(fields.key, target->token, now);
    ++m_counters.forwardedOpenings;
    ++m_counters.forwarded;
    return forwardTo(*target);
}

bool TokenRouter::isHeldBackByWarmUp(
    const std::vector<Target*>& targets, const TriedTargets& tried, MonotonicTime now) const
{
    if (m_warmUp == nullptr || tried.count == 0)
        return false;
    return std::any_of(targets.begin(), targets.end(),
        [&](const Target* target) { return tried.contains(target->token) && !m_warmUp->mayOpen(*target, now); });
}

PlacementExplanation TokenRouter::explain(const FlowKey& key, MonotonicTime now) const
{
    PlacementExplanation explanation { .sharedLoad = m_targets.sharedLoad() };
    if (!m_routes) {
        explanation.refusal = DropReason::StaleState;
        return explanation;
    }
    explanation.route = m_routes->find(key.serviceAddress());
    if (explanation.route == nullptr) {
        explanation.refusal = DropReason::UnknownAddress;
        return explanation;
    }
    explanation.service = pickService(*explanation.route, key);
    const TriedTargets tried = m_flows.triedTargets(key);
    if (tried.count == 0 && m_admission != nullptr)
        explanation.admittedShare = m_admission->admittedShare(*explanation.route, explanation.service);
    explanation.targets = m_chooser.explain(m_targets.targetsOf(explanation.service), tried, now);
    if (explanation.sharedLoad.fresh) {
        for (TargetExplanation& target : explanation.targets)
            target.load = requestsPerSlot(*target.target);
    }
    const bool hasTarget = std::any_of(explanation.targets.begin(), explanation.targets.end(),
        [](const TargetExplanation& target) { return target.rank != TargetRank::Unusable; });
    if (explanation.admittedShare <= 0)
        explanation.refusal = DropReason::NewFlowLimit;
    else if (!hasTarget)
        explanation.refusal = DropReason::NoTarget;
    return explanation;
}

Decision TokenRouter::routeOpenFlow(const PacketFields& fields, MonotonicTime now)
{
    if (fields.token == FlowToken())
        return drop(fields, DropReason::NoToken);
    if (isRouteWithdrawn(fields, now))
        return reset(fields, DropReason::UnknownAddress);
    Target* target = m_targets.find(fields.token);
    if (target == nullptr)
        return routeUnknownToken(fields, now);
    if (target->presence == TargetPresence::Gone) {
        // A flow that did not pass here before may have been opened at the target's next run.
        if (!m_flows.isKnown(fields.key, target->token) && !includesFlow(m_targetsConfirmedAt, fields.key, now))
            return drop(fields, DropReason::TargetGone);
        m_flows.remove(fields.key);
        return reset(fields, DropReason::TargetGone);
    }
    m_flows.recordPacket(fields, *target, now);
    ++m_counters.forwarded;
    return forwardTo(*target);
}

bool TokenRouter::isRouteWithdrawn(const PacketFields& fields, MonotonicTime now)
{
    if (!m_routes || m_routes->find(fields.key.serviceAddress()) != nullptr)
        return false;
    // Flows that passed here while there was a route are not newer than its withdrawal. For others, a configuration
    // that this balancer does not have yet may have added the route again.
    const bool isNew = !m_unconfirmedFlows.contains(fields.key);
    if (isNew && m_withdrawnAddresses.contains(fields.key.serviceAddress())
        && m_flows.isKnown(fields.key, fields.token))
        return true;
    return includesFlow(m_routesConfirmedAt, fields.key, now);
}

bool TokenRouter::includesFlow(MonotonicTime confirmedAt, const FlowKey& key, MonotonicTime now)
{
    const auto found = m_unconfirmedFlows.find(key);
    if (found != m_unconfirmedFlows.end())
        return confirmedAt > found->second && confirmedAt >= m_restoreEnd;
    if (m_unconfirmedFlows.size() < m_options.maxUnconfirmedFlows)
        m_unconfirmedFlows.emplace(key, now);
    return false;
}

Decision TokenRouter::routeUnknownToken(const PacketFields& fields, MonotonicTime now)
{
    if (!m_viewCurrent)
        return drop(fields, DropReason::UnknownToken);
    const bool flowIncluded = includesFlow(m_targetsConfirmedAt, fields.key, now);
    const auto found = m_unknownSince.find(fields.token);
    if (found != m_unknownSince.end()) {
        if (flowIncluded && m_targetsConfirmedAt >= graceEndOf(found->second))
            return reset(fields, DropReason::UnknownToken);
    } else if (m_unknownSince.size() < m_options.maxUnknownTokens) {
        m_unknownSince.emplace(fields.token, now);
    }
    return drop(fields, DropReason::UnknownToken);
}

std::optional<MonotonicTime> TokenRouter::currentAnswerDue() const
{
    std::optional<MonotonicTime> due;
    for (const auto& [token, firstSeen] : m_unknownSince) {
        const MonotonicTime graceEnd = graceEndOf(firstSeen);
        if (m_targetsConfirmedAt < graceEnd)
            due = std::min(due.value_or(graceEnd), graceEnd);
    }
    return due;
}

Decision TokenRouter::reset(const PacketFields& fields, DropReason reason)
{
    if (fields.reset)
        return drop(fields, reason);
    m_observer.onRefused({ .flow = fields.key, .token = fields.token, .reason = reason, .reset = true });
    ++m_counters.resets[static_cast<std::size_t>(reason)];
    return ResetFlow { .reason = reason };
}

Decision TokenRouter::drop(const PacketFields& fields, DropReason reason)
{
    m_observer.onRefused({ .flow = fields.key, .token = fields.token, .reason = reason, .reset = false });
    ++m_counters.drops[static_cast<std::size_t>(reason)];
    return DropPacket { .reason = reason };
}

void TokenRouter::expire(MonotonicTime now)
{
    // Flows with older entries have already ended by their own timeouts.
    constexpr std::chrono::seconds retention { 60 };
    // A token may have become known, because its target was newer than this balancer's view.
    absl::erase_if(m_unknownSince,
        [&](const auto& entry) { return now - entry.second >= retention || m_targets.find(entry.first) != nullptr; });
    absl::erase_if(m_unconfirmedFlows, [&](const auto& entry) { return now - entry.second >= retention; });
}

} // namespace anvilwalk
