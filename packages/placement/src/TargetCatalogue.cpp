#include <anvilwalk/placement/TargetCatalogue.h>

#include <algorithm>
#include <utility>

namespace anvilwalk {

namespace {

    // After the store recovers, entries of running targets may expire and be restored. Removals within this time after
    // an outage are therefore not taken as terminated targets.
    constexpr std::chrono::seconds outageRecoveryTime { 5 };

    bool startedEarlier(const Target& a, const Target& b)
    {
        if (a.record.startedMs != b.record.startedMs)
            return a.record.startedMs < b.record.startedMs;
        return a.record.name < b.record.name;
    }

} // namespace

TargetCatalogue::TargetCatalogue(const TargetCatalogueOptions& options, PlacementObserver& observer)
    : m_options(options)
    , m_observer(observer)
{
}

void TargetCatalogue::put(const TargetRecord& record, StoreVersion version, MonotonicTime now)
{
    auto& known = m_byName[record.name];
    if (known && version <= known->version)
        return;
    // A new run starts with empty statistics.
    const bool isNewRun = !known || known->record.startedMs != record.startedMs;
    if (isNewRun)
        known = std::make_unique<Target>();
    const bool isOlderCopy = !isNewRun && eraOf(version) > eraOf(known->version);
    const bool staysDraining = isOlderCopy && known->record.state == TargetState::Draining;
    if (known->record.state != TargetState::Draining)
        known->drainingSince = now;
    known->record = record;
    if (staysDraining)
        known->record.state = TargetState::Draining;
    known->token = tokenOf(record.key);
    known->version = version;
    known->readVersion = version;
    known->presence = TargetPresence::Listed;
    // The remaining time was current when the entry was written, so each reading of a run gives an upper limit of the
    // end.
    const MonotonicTime coldUntil = now + record.coldRemaining;
    known->coldUntil = isNewRun ? coldUntil : std::min(known->coldUntil, coldUntil);
    m_indexCurrent = false;
}

void TargetCatalogue::putInvalid(const std::string& name, StoreVersion version, MonotonicTime now)
{
    const auto found = m_byName.find(name);
    if (found == m_byName.end() || version <= found->second->version)
        return;
    found->second->version = version;
    found->second->readVersion = version;
    // The entry was changed by another writer; the target itself may still be running.
    markAbsent(*found->second, TargetPresence::Missing, now);
    m_indexCurrent = false;
}

void TargetCatalogue::remove(const std::vector<RemovedEntry>& entries, StoreVersion readVersion, MonotonicTime now)
{
    const bool expired = mayHaveExpired(entries.size(), now);
    bool changed = false;
    for (const RemovedEntry& entry : entries) {
        const auto found = m_byName.find(entry.name);
        // A removal carries the version of the entry's last content, so an equal version is not outdated.
        if (found == m_byName.end() || entry.version < found->second->version)
            continue;
        Target& target = *found->second;
        target.version = entry.version;
        if (target.presence != TargetPresence::Listed)
            continue;
        target.readVersion = std::max(readVersion, entry.version);
        const bool ended = !expired && hasAnnouncedEnd(target, now);
        markAbsent(target, ended ? TargetPresence::Gone : TargetPresence::Missing, now);
        changed = true;
    }
    if (changed)
        m_indexCurrent = false;
}

void TargetCatalogue::retainOnly(const std::vector<std::string>& names, StoreVersion version, MonotonicTime now)
{
    const absl::flat_hash_set<std::string> kept(names.begin(), names.end());
    std::vector<RemovedEntry> removed;
    for (const auto& [name, target] : m_byName) {
        if (target->presence == TargetPresence::Listed && !kept.contains(name))
            removed.push_back({ .name = name, .version = version });
    }
    remove(removed, version, now);
}

void TargetCatalogue::adopt(const VersionedTarget& target, MonotonicTime now)
{
    put(target.record, target.version, now);
    Target& known = *m_byName[target.record.name];
    // A removal does not change the version of the entry, so an equal version may be newer.
    if (target.presence == TargetPresence::Listed || target.version < known.version
        || known.presence == TargetPresence::Gone)
        return;
    known.version = target.version;
    known.readVersion = std::max(known.readVersion, target.readVersion);
    if (known.presence != target.presence)
        markAbsent(known, target.presence, now);
    m_indexCurrent = false;
}

bool TargetCatalogue::mayHaveExpired(std::size_t removed, MonotonicTime now) const
{
    if (m_hadOutage && now - m_lastOutage < outageRecoveryTime)
        return true;
    constexpr std::size_t percent = 100;
    return removed >= m_options.massExpiryMinimum && removed * percent >= m_byName.size() * m_options.massExpiryPercent;
}

bool TargetCatalogue::hasAnnouncedEnd(const Target& target, MonotonicTime now) const
{
    return target.record.state == TargetState::Draining && now - target.drainingSince >= m_options.minDrainTime;
}

void TargetCatalogue::markAbsent(Target& target, TargetPresence presence, MonotonicTime now)
{
    target.presence = presence;
    target.absentSince = now;
    m_observer.onAbsent(target);
}

void TargetCatalogue::setEvacuated(absl::flat_hash_set<DataCentreId> dataCentres)
{
    m_evacuated = std::move(dataCentres);
    m_indexCurrent = false;
}

std::optional<MonotonicTime> TargetCatalogue::currentAnswerDue() const
{
    std::optional<MonotonicTime> due;
    for (const auto& [name, target] : m_byName) {
        if (target->presence != TargetPresence::Missing)
            continue;
        const MonotonicTime graceEnd = graceEndOf(*target);
        // An answer after the grace period takes effect at the next expiry pass.
        if (m_confirmedAt < graceEnd)
            due = std::min(due.value_or(graceEnd), graceEnd);
    }
    return due;
}

MonotonicTime TargetCatalogue::graceEndOf(const Target& target) const
{
    // A running target cannot renew its entry during a store outage.
    const MonotonicTime start = m_hadOutage ? std::max(target.absentSince, m_lastOutage) : target.absentSince;
    return std::max(start + m_options.missingGracePeriod, m_restoreEnd);
}

bool TargetCatalogue::isGracePeriodOver(const Target& target, MonotonicTime now) const
{
    // Only an answer after the grace period shows that the store was available in the meantime.
    const MonotonicTime graceEnd = graceEndOf(target);
    return now >= graceEnd && m_confirmedAt >= graceEnd;
}

void TargetCatalogue::expire(MonotonicTime now)
{
    bool changed = false;
    for (auto& [name, target] : m_byName) {
        if (target->presence != TargetPresence::Missing || !isGracePeriodOver(*target, now))
            continue;
        markAbsent(*target, TargetPresence::Gone, now);
        changed = true;
    }
    const auto discardable = [&](const Target& target) {
        return target.presence == TargetPresence::Gone && now - target.absentSince >= m_options.goneRetention;
    };
    const std::size_t discarded = absl::erase_if(m_byName, [&](const auto& entry) {
        if (!discardable(*entry.second))
            return false;
        m_discardedVersion = std::max(m_discardedVersion, entry.second->readVersion);
        return true;
    });
    if (changed || discarded > 0)
        m_indexCurrent = false;
}

Target* TargetCatalogue::find(FlowToken token)
{
    updateIndex();
    const auto found = m_byToken.find(token);
    return found == m_byToken.end() ? nullptr : found->second;
}

const std::vector<Target*>& TargetCatalogue::targetsOf(const ServiceName& service)
{
    static const std::vector<Target*> none;
    updateIndex();
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

const std::vector<Target*>& TargetCatalogue::present()
{
    updateIndex();
    return m_present;
}

TargetChanges TargetCatalogue::changesSince(StoreVersion version, MonotonicTime now) const
{
    TargetChanges changes { .targets = {}, .complete = version == StoreVersion() || version < m_discardedVersion };
    // A balancer that has read nothing before a restore cannot tell what the copy lacks; the receiver can.
    changes.complete = changes.complete || eraOf(version) < eraOf(lastChange());
    for (const auto& [name, target] : m_byName) {
        if (!changes.complete && target->readVersion <= version)
            continue;
        changes.targets.push_back({ .record = target->record,
            .version = target->version,
            .readVersion = target->readVersion,
            .presence = target->presence });
        // Rounded up, so that no balancer takes the target for warm too early.
        const auto cold = std::chrono::ceil<std::chrono::milliseconds>(target->coldUntil - now);
        changes.targets.back().record.coldRemaining = std::max(cold, std::chrono::milliseconds(0));
    }
    return changes;
}

StoreVersion TargetCatalogue::lastChange() const
{
    StoreVersion last = m_discardedVersion;
    for (const auto& [name, target] : m_byName)
        last = std::max(last, target->readVersion);
    return last;
}

void TargetCatalogue::updateIndex()
{
    if (std::exchange(m_indexCurrent, true))
        return;
    m_byToken.clear();
    // On a token collision a present target takes precedence over a gone one, then the one that started earlier.
    for (const auto& [name, target] : m_byName) {
        target->tokenCollides = false;
        target->evacuated = m_evacuated.contains(target->record.dataCentre);
        auto [at, inserted] = m_byToken.emplace(target->token, target.get());
        if (inserted)
            continue;
        Target& other = *at->second;
        const bool otherTakesPrecedence = other.presence != TargetPresence::Gone
            && (target->presence == TargetPresence::Gone || startedEarlier(other, *target));
        (otherTakesPrecedence ? target.get() : &other)->tokenCollides = true;
        if (!otherTakesPrecedence)
            at->second = target.get();
    }
    rebuildServices();
}

void TargetCatalogue::rebuildServices()
{
    m_byService.clear();
    m_present.clear();
    for (const auto& [name, target] : m_byName) {
        if (target->presence == TargetPresence::Gone)
            continue;
        m_byService[target->record.service].push_back(target.get());
        m_present.push_back(target.get());
    }
    for (auto& [service, targets] : m_byService)
        std::sort(targets.begin(), targets.end(),
            [](const Target* a, const Target* b) { return a->record.name < b->record.name; });
}

} // namespace anvilwalk
