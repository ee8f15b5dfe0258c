#include "ViewKeeper.h"

#include <algorithm>

namespace anvilwalk {

ViewKeeper::ViewKeeper(TargetCatalogue& targets, TokenRouter& router, EventLog& log, const Clock& clock)
    : m_targets(targets)
    , m_router(router)
    , m_log(log)
    , m_clock(clock)
    , m_targetObserver(*this, "targets")
    , m_routeObserver(*this, "routes")
{
}

void ViewKeeper::FeedObserver::onContact()
{
    inContact = true;
    m_keeper.m_log.write(EventKind::Store, "contact", logField("feed", m_feed));
    m_keeper.updateCurrency();
}

void ViewKeeper::FeedObserver::onAnswer(StoreVersion version, ReadFreshness)
{
    answeredVersion = std::max(answeredVersion, version);
    answeredAt = m_keeper.m_clock.now();
}

void ViewKeeper::FeedObserver::onFailure(const Error& error)
{
    inContact = false;
    m_keeper.m_log.write(
        EventKind::Store, "call_failed", logField("feed", m_feed), logField("error", std::string_view(error.message)));
    m_keeper.m_targets.recordStoreOutage(m_keeper.m_clock.now());
    m_keeper.updateCurrency();
}

void ViewKeeper::TargetObserver::onAnswer(StoreVersion version, ReadFreshness freshness)
{
    FeedObserver::onAnswer(version, freshness);
    if (freshness != ReadFreshness::Current)
        return;
    m_keeper.m_targets.recordStoreAnswer(answeredAt);
    m_keeper.m_router.recordStoreAnswer(answeredAt);
}

bool ViewKeeper::TargetObserver::expectsChanges() const
{
    return m_keeper.m_targets.hasMissing() || m_keeper.m_router.hasUnresolvedTokens();
}

void ViewKeeper::TargetObserver::onSnapshot(const std::vector<StoreEntry>& entries, StoreVersion version)
{
    const MonotonicTime now = m_keeper.m_clock.now();
    std::vector<std::string> names;
    for (const StoreEntry& entry : entries) {
        m_keeper.putTarget(entry, now);
        names.push_back(entry.name);
    }
    m_keeper.m_targets.retainOnly(names, version, now);
    m_keeper.m_hasTargets = true;
    m_keeper.m_hasStoreTargets = true;
    m_keeper.m_log.write(EventKind::Store, "targets_listed", logField("version", version.value()),
        logField("entries", entries.size()), logField("targets", m_keeper.m_targets.size()));
    m_keeper.updateCurrency();
    m_keeper.tellIfComplete();
}

void ViewKeeper::TargetObserver::onChanges(const std::vector<StoreEntry>& entries, StoreVersion)
{
    const MonotonicTime now = m_keeper.m_clock.now();
    std::vector<RemovedEntry> removed;
    for (const StoreEntry& entry : entries) {
        if (!entry.removed)
            m_keeper.putTarget(entry, now);
        else
            removed.push_back({ .name = entry.name, .version = entry.version });
    }
    if (removed.empty())
        return;
    m_keeper.m_targets.remove(removed, now);
}

void ViewKeeper::RouteObserver::onSnapshot(const std::vector<StoreEntry>& entries, StoreVersion version)
{
    onChanges(entries, version);
}

void ViewKeeper::RouteObserver::onChanges(const std::vector<StoreEntry>& entries, StoreVersion)
{
    for (const StoreEntry& entry : entries) {
        if (!entry.removed)
            m_keeper.putRoutes(entry);
    }
    m_keeper.tellIfComplete();
}

ViewSnapshot ViewKeeper::snapshot() const
{
    return { .routes = m_router.routes(),
        .targets = m_targets.presentTargets(m_clock.now()),
        .targetsVersion = targetsVersion(),
        .targetsAge = targetsAge() };
}

KnownVersions ViewKeeper::knownVersions() const
{
    const RouteTablePointer& routes = m_router.routes();
    return { .targets = m_hasTargets ? targetsVersion() : StoreVersion(),
        .config = routes ? routes->version() : ConfigVersion() };
}

void ViewKeeper::onPeerView(const ViewSnapshot& view, const Ipv4Endpoint& peer)
{
    const KnownVersions known = knownVersions();
    if (view.targetsVersion > known.targets)
        takePeerTargets(view);
    if (view.routes->version() > known.config)
        m_router.setRoutes(view.routes);
    ++m_peerViewsTaken;
    tellIfComplete();
    m_log.write(EventKind::Store, "peer_view_taken", logField("peer", peer.toString()),
        logField("targets_version", view.targetsVersion.value()), logField("known_version", known.targets.value()),
        logField("age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(view.targetsAge).count()),
        logField("config_version", view.routes->version().value()), logField("targets", view.targets.size()));
}

void ViewKeeper::takePeerTargets(const ViewSnapshot& view)
{
    const MonotonicTime now = m_clock.now();
    std::vector<std::string> names;
    for (const VersionedTarget& target : view.targets) {
        m_targets.put(target.record, target.version, now);
        names.push_back(target.record.name);
    }
    m_targets.retainOnly(names, view.targetsVersion, now);
    m_targetObserver.answeredVersion = view.targetsVersion;
    m_targetObserver.answeredAt = now - view.targetsAge;
    m_hasTargets = true;
}

void ViewKeeper::onPeerFailure(const Ipv4Endpoint& peer, const Error& error)
{
    m_log.write(EventKind::Store, "peer_failed", logField("peer", peer.toString()),
        logField("error", std::string_view(error.message)));
}

void ViewKeeper::putTarget(const StoreEntry& entry, MonotonicTime now)
{
    const auto* record = std::get_if<TargetRecord>(&entry.content);
    if (record == nullptr) {
        m_targets.putInvalid(entry.name, entry.version, now);
        m_log.write(EventKind::Target, "entry_unusable", logField("target", std::string_view(entry.name)),
            logField("version", entry.version.value()), logField("problem", std::string_view(entry.problem)));
        return;
    }
    m_targets.put(*record, entry.version, now);
    m_log.write(EventKind::Target, record->state == TargetState::Ready ? "ready" : "draining",
        logField("target", std::string_view(record->name)), logField("version", entry.version.value()),
        logField("token", tokenOf(record->key).value()), logField("service", std::string_view(record->service.value())),
        logField("cold_ms", record->coldRemaining.count()));
}

void ViewKeeper::putRoutes(const StoreEntry& entry)
{
    if (!entry.problem.empty()) {
        m_log.write(EventKind::Routes, "unusable", logField("version", entry.version.value()),
            logField("problem", std::string_view(entry.problem)));
        return;
    }
    const auto* routes = std::get_if<RouteTablePointer>(&entry.content);
    if (routes == nullptr)
        return;
    m_router.setRoutes(*routes);
    m_log.write(EventKind::Routes, "in_force", logField("config_version", m_router.routes()->version().value()),
        logField("routes", m_router.routes()->routes().size()));
}

void ViewKeeper::tellIfComplete()
{
    if (isComplete() && m_onComplete)
        std::exchange(m_onComplete, nullptr)();
}

void ViewKeeper::updateCurrency() { m_router.setViewCurrent(m_hasStoreTargets && m_targetObserver.inContact); }

} // namespace anvilwalk
