#include "RoutingView.h"

#include <algorithm>

namespace anvilwalk {

namespace {

    // How soon a balancer that has just started notices that it is a relay.
    constexpr Duration roleCheckInterval = std::chrono::milliseconds(100);

    // A watch that waits no longer confirms the routes at once.
    constexpr std::chrono::milliseconds minWatchWait(1);

    // A watch of routes ends this long before the targets need a read of their own, so that its answer can confirm
    // them.
    constexpr std::chrono::milliseconds confirmationMargin(250);

} // namespace

RoutingView::RoutingView(const RoutingViewOptions& options, TargetCatalogue& targets, TokenRouter& router,
    const MemberList& members, EventLog& log, const Clock& clock)
    : m_options(options)
    , m_targets(targets)
    , m_router(router)
    , m_members(members)
    , m_log(log)
    , m_clock(clock)
    , m_startedAt(clock.now())
    , m_evacuations(options.evacuations, targets, members, log, clock)
    , m_targetObserver(*this, "targets")
    , m_routeObserver(*this, "routes")
{
    m_evacuations.onVersion([this](StoreVersion version) { recordVersion(version, "evacuations"); });
    m_evacuations.onChange([this] {
        notifyIfComplete();
        notifyChange();
    });
}

void RoutingView::FeedObserver::onReachable()
{
    inContact = true;
    m_view.m_log.write(EventKind::Store, "contact", logField("feed", m_feed));
    m_view.updateFreshness();
}

void RoutingView::FeedObserver::onResponse(const StoreAnswer& answer)
{
    m_view.recordVersion(answer.version, m_feed);
    answeredVersion = std::max(answeredVersion, answer.version);
    if (answer.currentAt)
        confirmedAt = std::max(confirmedAt, *answer.currentAt);
}

void RoutingView::FeedObserver::onFailure(const Error& error)
{
    inContact = false;
    m_view.m_log.write(
        EventKind::Store, "call_failed", logField("feed", m_feed), logField("error", std::string_view(error.message)));
    m_view.m_targets.recordStoreOutage(m_view.m_clock.now());
    m_view.m_router.recordStoreOutage(m_view.m_clock.now());
    m_view.updateFreshness();
}

void RoutingView::TargetObserver::onResponse(const StoreAnswer& answer)
{
    FeedObserver::onResponse(answer);
    if (answer.currentAt)
        m_view.recordTargetsConfirmed(*answer.currentAt);
    m_view.confirmTargets();
}

void RoutingView::TargetObserver::onFailure(const Error& error)
{
    passedOn = StoreVersion();
    FeedObserver::onFailure(error);
}

void RoutingView::TargetObserver::onSnapshot(const std::vector<StoreEntry>& entries, StoreVersion version)
{
    const MonotonicTime now = m_view.m_clock.now();
    std::vector<std::string> names;
    for (const StoreEntry& entry : entries) {
        m_view.putTarget(entry, now);
        names.push_back(entry.name);
    }
    m_view.m_targets.retainOnly(names, version, now);
    m_view.m_hasTargets = true;
    m_view.m_hasStoreTargets = true;
    m_view.m_log.write(EventKind::Store, "targets_listed", logField("version", version.value()),
        logField("entries", entries.size()), logField("targets", m_view.m_targets.size()));
    m_view.updateFreshness();
    m_view.notifyIfComplete();
    m_view.notifyChange();
}

void RoutingView::TargetObserver::onChanges(const std::vector<StoreEntry>& entries, StoreVersion version)
{
    const MonotonicTime now = m_view.m_clock.now();
    std::vector<RemovedEntry> removed;
    for (const StoreEntry& entry : entries) {
        if (!entry.removed)
            m_view.putTarget(entry, now);
        else
            removed.push_back({ .name = entry.name, .version = entry.version });
    }
    if (!removed.empty())
        m_view.m_targets.remove(removed, version, now);
    m_view.notifyChange();
}

void RoutingView::RouteObserver::onResponse(const StoreAnswer& answer)
{
    FeedObserver::onResponse(answer);
    m_view.m_router.recordRoutesConfirmed(confirmedAt);
    if (!answer.currentAt || answer.version < m_view.m_lastCurrentAnswer.version)
        return;
    m_view.m_lastCurrentAnswer = answer;
    m_view.confirmTargets();
    m_view.m_evacuations.recordCurrentAnswer(answer);
}

void RoutingView::RouteObserver::onSnapshot(const std::vector<StoreEntry>& entries, StoreVersion version)
{
    onChanges(entries, version);
}

void RoutingView::RouteObserver::onChanges(const std::vector<StoreEntry>& entries, StoreVersion)
{
    for (const StoreEntry& entry : entries) {
        if (!entry.removed)
            m_view.putRoutes(entry);
    }
    m_view.notifyIfComplete();
    m_view.notifyChange();
}

void RoutingView::recordVersion(StoreVersion version, std::string_view source)
{
    // Version 0 stands for data that the source does not have.
    if (version != StoreVersion())
        recordEra(eraOf(version), source);
}

void RoutingView::recordEra(StoreEra era, std::string_view source)
{
    if (!m_era) {
        m_era = era;
        return;
    }
    if (era <= *m_era)
        return;
    const StoreEra old = std::exchange(*m_era, era);
    const MonotonicTime now = m_clock.now();
    m_targets.recordStoreRestored(now);
    m_router.recordStoreRestored(now);
    m_log.write(EventKind::Store, "era_rose", logField("feed", source), logField("old_era", old.value()),
        logField("new_era", era.value()));
}

void RoutingView::confirmTargets()
{
    if (m_lastCurrentAnswer.currentAt && m_targetObserver.answeredVersion >= m_lastCurrentAnswer.version)
        recordTargetsConfirmed(*m_lastCurrentAnswer.currentAt);
}

void RoutingView::recordTargetsConfirmed(MonotonicTime at)
{
    m_targetObserver.confirmedAt = std::max(m_targetObserver.confirmedAt, at);
    m_targets.recordConfirmed(at);
    m_router.recordTargetsConfirmed(at);
}

bool RoutingView::needsPeerView() const
{
    const bool inContact = m_targetObserver.inContact && m_routeObserver.inContact && m_evacuations.isKnown();
    return !inContact && !isConfirmedByRelay();
}

ViewSnapshot RoutingView::snapshot(const KnownVersions& known) const
{
    TargetChanges changes = m_targets.changesSince(known.targets, m_clock.now());
    const RouteTablePointer& routes = m_router.routes();
    return { .routes = routes->version() > known.config ? routes : nullptr,
        .targets = std::move(changes.targets),
        .complete = changes.complete,
        .targetsVersion = targetsVersion(),
        .targetsAge = targetsAge(),
        .evacuations = m_evacuations.status() };
}

ViewStatus RoutingView::status() const
{
    const KnownVersions known = knownVersions();
    return { .targets = known.targets,
        .lastTargetChange = m_targets.lastChange(),
        .config = known.config,
        .targetsAge = targetsAge(),
        .routesAge = routesAge(),
        .evacuations = m_evacuations.status() };
}

KnownVersions RoutingView::knownVersions() const
{
    const RouteTablePointer& routes = m_router.routes();
    return { .targets = m_hasTargets ? targetsVersion() : StoreVersion(),
        .config = routes ? routes->version() : ConfigVersion(),
        .evacuations = m_evacuations.version() };
}

void RoutingView::onPeerView(const ViewSnapshot& view, const Ipv4Endpoint& peer)
{
    recordVersion(view.targetsVersion, "peer");
    const KnownVersions known = knownVersions();
    // Without any targets, those from before a restore are better than none.
    const bool isOfKnownEra = !m_hasTargets || eraOf(view.targetsVersion) == storeEra();
    if (view.targetsVersion > known.targets && isOfKnownEra)
        applyPeerTargets(view);
    if (view.routes && view.routes->version() > known.config)
        setRoutes(view.routes);
    if (view.evacuations)
        m_evacuations.adopt(*view.evacuations, m_clock.now());
    ++m_peerViewsApplied;
    notifyIfComplete();
    notifyChange();
    m_log.write(EventKind::Store, "peer_view_taken", logField("peer", peer.toString()),
        logField("targets_version", view.targetsVersion.value()), logField("known_version", known.targets.value()),
        logField("age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(view.targetsAge).count()),
        logField("config_version", view.routes ? view.routes->version().value() : known.config.value()),
        logField("targets", view.targets.size()));
}

void RoutingView::applyPeerTargets(const ViewSnapshot& view)
{
    const MonotonicTime now = m_clock.now();
    std::vector<std::string> names;
    for (const VersionedTarget& target : view.targets) {
        m_targets.adopt(target, now);
        names.push_back(target.record.name);
        if (target.presence == TargetPresence::Listed)
            logTarget(target.record, target.version);
    }
    if (view.complete)
        m_targets.retainOnly(names, view.targetsVersion, now);
    m_targetObserver.answeredVersion = view.targetsVersion;
    m_targetObserver.confirmedAt = now - view.targetsAge;
    m_hasTargets = true;
}

void RoutingView::onRelayConfirmation(const ViewStatus& status, MonotonicTime receivedAt)
{
    recordVersion(status.targets, "relay");
    // A relay whose targets are of a lower era has not read the restored store yet.
    if (eraOf(status.targets) < storeEra())
        return;
    m_targetObserver.answeredVersion = std::max(m_targetObserver.answeredVersion, status.targets);
    m_targetObserver.passedOn = m_targetObserver.answeredVersion;
    m_relayTargetsAt = std::max(m_relayTargetsAt, receivedAt - status.targetsAge);
    m_relayRoutesAt = std::max(m_relayRoutesAt, receivedAt - status.routesAge);
    m_hasRelayConfirmation = true;
    recordTargetsConfirmed(m_relayTargetsAt);
    m_routeObserver.confirmedAt = std::max(m_routeObserver.confirmedAt, m_relayRoutesAt);
    m_router.recordRoutesConfirmed(m_routeObserver.confirmedAt);
    if (isConfirmedByRelay())
        m_hasStoreTargets = m_hasTargets;
    updateFreshness();
}

Duration RoutingView::relayConfirmationRemaining() const
{
    if (!m_hasRelayConfirmation || !isComplete())
        return Duration::zero();
    return std::min(m_relayTargetsAt, m_relayRoutesAt) + m_options.maxRelayAge - m_clock.now();
}

Duration RoutingView::untilStoreNeeded() const
{
    const MonotonicTime now = m_clock.now();
    if (!isComplete())
        return Duration::zero();
    // A read of this balancer itself counts like a confirmation by a relay.
    const Duration remaining
        = std::min(m_targetObserver.confirmedAt, m_routeObserver.confirmedAt) + m_options.maxRelayAge - now;
    switch (m_members.role()) {
    case MemberRole::Follower:
        return remaining;
    case MemberRole::Independent:
        return std::min({ remaining, m_startedAt + m_options.startupTime - now, roleCheckInterval });
    case MemberRole::Relay:
        break;
    }
    return Duration::zero();
}

bool RoutingView::needsCurrentTargets() const
{
    const auto due = currentTargetsDue();
    return due && *due <= m_clock.now();
}

std::optional<MonotonicTime> RoutingView::currentTargetsDue() const
{
    const auto targetsDue = m_targets.currentAnswerDue();
    const auto tokensDue = m_router.currentAnswerDue();
    if (targetsDue && tokensDue)
        return std::min(*targetsDue, *tokensDue);
    return targetsDue ? targetsDue : tokensDue;
}

std::optional<Duration> RoutingView::untilCurrentTargetsRead() const
{
    const MonotonicTime confirmedAt = m_targetObserver.confirmedAt;
    MonotonicTime due = confirmedAt + targetsAgeLimit();
    if (const auto decisionDue = currentTargetsDue())
        due = std::min(due, *decisionDue);
    if (m_members.anyNeedsCurrentTargets())
        due = std::min(due, confirmedAt + m_options.currentReadInterval);
    return due - m_clock.now();
}

Duration RoutingView::targetsAgeLimit() const
{
    // Followers read the store themselves once a relay's targets are older than maxRelayAge.
    if (m_members.role() == MemberRole::Relay)
        return m_options.maxRelayAge - m_options.relayMargin;
    return m_options.maxTargetsAge;
}

std::chrono::milliseconds RoutingView::maxRoutesWatchWait() const
{
    const MonotonicTime end = m_routeObserver.confirmedAt + targetsAgeLimit() - confirmationMargin;
    return std::max(minWatchWait, std::chrono::floor<std::chrono::milliseconds>(end - m_clock.now()));
}

void RoutingView::notifyChange()
{
    if (isComplete() && m_onChange)
        m_onChange();
}

void RoutingView::onPeerFailure(const Ipv4Endpoint& peer, const Error& error)
{
    m_log.write(EventKind::Store, "peer_failed", logField("peer", peer.toString()),
        logField("error", std::string_view(error.message)));
}

void RoutingView::putTarget(const StoreEntry& entry, MonotonicTime now)
{
    const auto* record = std::get_if<TargetRecord>(&entry.content);
    if (record == nullptr) {
        m_targets.putInvalid(entry.name, entry.version, now);
        m_log.write(EventKind::Target, "entry_unusable", logField("target", std::string_view(entry.name)),
            logField("version", entry.version.value()), logField("problem", std::string_view(entry.error)));
        return;
    }
    m_targets.put(*record, entry.version, now);
    logTarget(*record, entry.version);
}

void RoutingView::logTarget(const TargetRecord& record, StoreVersion version)
{
    m_log.write(EventKind::Target, record.state == TargetState::Ready ? "ready" : "draining",
        logField("target", std::string_view(record.name)), logField("version", version.value()),
        logField("token", tokenOf(record.key).value()), logField("service", std::string_view(record.service.value())),
        logField("cold_ms", record.coldRemaining.count()));
}

void RoutingView::putRoutes(const StoreEntry& entry)
{
    if (!entry.error.empty()) {
        m_log.write(EventKind::Routes, "unusable", logField("version", entry.version.value()),
            logField("problem", std::string_view(entry.error)));
        return;
    }
    const auto* routes = std::get_if<RouteTablePointer>(&entry.content);
    if (routes != nullptr)
        setRoutes(*routes);
}

void RoutingView::setRoutes(const RouteTablePointer& routes)
{
    m_router.setRoutes(routes);
    m_log.write(EventKind::Routes, "in_force", logField("config_version", m_router.routes()->version().value()),
        logField("routes", m_router.routes()->routes().size()),
        logField("shared_load", m_router.routes()->sharesLoad()),
        logField("warm_up_limits", m_router.routes()->warmUpLimits().size()));
}

void RoutingView::notifyIfComplete()
{
    if (isComplete() && m_onComplete)
        std::exchange(m_onComplete, nullptr)();
}

void RoutingView::refresh()
{
    updateFreshness();
    const MemberRole role = m_members.role();
    if (std::exchange(m_loggedRole, role) == role)
        return;
    m_log.write(
        EventKind::Store, "role", logField("role", toString(role)), logField("members", m_members.memberCount()));
}

void RoutingView::updateFreshness()
{
    m_router.setViewCurrent(m_hasStoreTargets && (m_targetObserver.inContact || isConfirmedByRelay()));
}

} // namespace anvilwalk
