#include "EvacuationView.h"

#include <algorithm>
#include <utility>

namespace anvilwalk {

namespace {

    // Names that other balancers accept in a heartbeat, whose other contents take up to 800 bytes.
    constexpr std::size_t maxPassedOnBytes = 512;

    void sortUnique(std::vector<DataCentreId>& dataCentres)
    {
        std::sort(dataCentres.begin(), dataCentres.end());
        dataCentres.erase(std::unique(dataCentres.begin(), dataCentres.end()), dataCentres.end());
    }

} // namespace

EvacuationView::EvacuationView(const EvacuationViewOptions& options, TargetCatalogue& targets,
    const MemberList& members, EventLog& log, const Clock& clock)
    : m_options(options)
    , m_targets(targets)
    , m_members(members)
    , m_log(log)
    , m_clock(clock)
    , m_startedAt(clock.now())
{
}

std::optional<EvacuationStatus> EvacuationView::status() const
{
    if (!m_known)
        return std::nullopt;
    std::size_t bytes = 0;
    for (const DataCentreId& dataCentre : m_inForce)
        bytes += dataCentre.value().size() + 2;
    if (bytes > maxPassedOnBytes)
        return std::nullopt;
    return EvacuationStatus {
        .version = m_version, .lastChange = m_lastChange, .age = age(), .dataCentres = m_inForce
    };
}

void EvacuationView::adopt(const EvacuationStatus& status, MonotonicTime receivedAt)
{
    if (!isEnabled() || (m_known && status.version < m_version))
        return;
    apply(status.dataCentres, status.version);
    m_confirmedAt = std::max(m_confirmedAt, receivedAt - status.age);
}

void EvacuationView::recordCurrentAnswer(const StoreAnswer& answer)
{
    if (!isEnabled() || !answer.currentAt || answer.version < m_lastCurrentAnswer.version)
        return;
    m_lastCurrentAnswer = answer;
    if (needsStaleRead() && m_onReadDue)
        m_onReadDue();
}

void EvacuationView::onEvacuations(const std::vector<StoreEntry>& entries, const StoreAnswer& answer)
{
    if (m_known && answer.version < m_version)
        return;
    std::vector<DataCentreId> listed;
    for (const StoreEntry& entry : entries) {
        // The content of an entry has no meaning, so one that cannot be decoded counts as well.
        if (!entry.name.empty())
            listed.emplace_back(entry.name);
        else
            m_log.write(EventKind::Store, "evacuation_unusable", logField("version", entry.version.value()),
                logField("problem", std::string_view(entry.error)));
    }
    apply(std::move(listed), answer.version);
    if (answer.currentAt)
        m_confirmedAt = std::max(m_confirmedAt, *answer.currentAt);
    else if (m_lastCurrentAnswer.currentAt && answer.version >= m_lastCurrentAnswer.version)
        m_confirmedAt = std::max(m_confirmedAt, *m_lastCurrentAnswer.currentAt);
}

void EvacuationView::apply(std::vector<DataCentreId> listed, StoreVersion version)
{
    if (m_onVersion)
        m_onVersion(version);
    retainAfterRestore(listed, version);
    sortUnique(listed);
    m_version = std::max(m_version, version);
    if (std::exchange(m_known, true) && listed == m_inForce)
        return;
    m_lastChange = m_version;
    m_inForce = std::move(listed);
    m_targets.setEvacuated({ m_inForce.begin(), m_inForce.end() });
    logInForce();
    if (m_onChange)
        m_onChange();
}

void EvacuationView::retainAfterRestore(std::vector<DataCentreId>& listed, StoreVersion version)
{
    const MonotonicTime now = m_clock.now();
    if (m_known && eraOf(version) > eraOf(m_version)) {
        m_retained = m_inForce;
        m_retainedUntil = now + m_options.restoreTime;
    }
    if (now < m_retainedUntil)
        listed.insert(listed.end(), m_retained.begin(), m_retained.end());
}

void EvacuationView::logInForce() const
{
    std::string names;
    for (const DataCentreId& dataCentre : m_inForce)
        names += (names.empty() ? "" : " ") + dataCentre.value();
    m_log.write(EventKind::Store, "evacuations_in_force", logField("version", m_version.value()),
        logField("data_centres", std::string_view(names)));
}

void EvacuationView::onEvacuationFailure(const Error& error)
{
    m_log.write(EventKind::Store, "call_failed", logField("feed", std::string_view("evacuations")),
        logField("error", std::string_view(error.message)));
}

bool EvacuationView::needsStaleRead() const
{
    return !m_known || (m_lastCurrentAnswer.currentAt && *m_lastCurrentAnswer.currentAt > m_confirmedAt);
}

Duration EvacuationView::untilCurrentRead() const
{
    if (!isEnabled())
        return std::chrono::hours(1);
    Duration limit = *m_options.maxAge;
    if (m_members.role() == MemberRole::Relay)
        limit -= m_options.relayMargin;
    return std::max(m_confirmedAt, m_startedAt) + limit - m_clock.now();
}

} // namespace anvilwalk
