#pragma once

#include <anvilwalk/discovery.h>
#include <anvilwalk/eventlog.h>
#include <anvilwalk/membership.h>
#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace anvilwalk {

struct EvacuationViewOptions {
    // A list that neither the store nor a relay has confirmed for this time is read from the store itself. nullopt if
    // operators do not evacuate data centres.
    std::optional<std::chrono::milliseconds> maxAge {};
    // Relays read the list this much earlier, so that followers need not.
    std::chrono::milliseconds relayMargin { 1000 };
    // After the store was restored from an older copy, evacuations that the copy lacks stay in force for this time, in
    // which the operator's tools write them again.
    std::chrono::milliseconds restoreTime { 5000 };
};

// The evacuated data centres, as the store or other balancers list them. Applies them to the target catalogue.
class EvacuationView final : public EvacuationObserver {
public:
    EvacuationView(const EvacuationViewOptions&, TargetCatalogue&, const MemberList&, EventLog&, const Clock&);

    bool isEnabled() const { return m_options.maxAge.has_value(); }
    // Whether new flows can be placed: the list is known, or operators do not evacuate data centres.
    bool isKnown() const { return !isEnabled() || m_known; }
    // Returns nullopt if the list is not known, or too long to be passed on in a datagram.
    std::optional<EvacuationStatus> status() const;
    // Version of the store at which the list was read, and version at which its last change was read.
    StoreVersion version() const { return m_version; }
    StoreVersion lastChange() const { return m_lastChange; }
    // Time since the store last confirmed the list.
    Duration age() const { return m_clock.now() - m_confirmedAt; }
    const std::vector<DataCentreId>& dataCentres() const { return m_inForce; }

    // Adopts the list of another balancer, unless it is older.
    void adopt(const EvacuationStatus&, MonotonicTime receivedAt);
    // Records an answer of the store about any kind of entry that was not stale. All kinds share one version counter,
    // so a list of this version or a later one includes every evacuation that the store had accepted at that time.
    void recordCurrentAnswer(const StoreAnswer&);
    // Sets a handler that is called when the list becomes known or changes.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }
    // Sets a handler that is called when a read has become due.
    void onReadDue(std::function<void()> handler) { m_onReadDue = std::move(handler); }
    // Sets a handler that is called with the version of each list before it is applied.
    void onVersion(std::function<void(StoreVersion)> handler) { m_onVersion = std::move(handler); }

    void onEvacuations(const std::vector<StoreEntry>&, const StoreAnswer&) override;
    void onEvacuationFailure(const Error&) override;
    bool needsStaleRead() const override;
    StoreEra highestEra() const override { return eraOf(std::max(m_version, m_lastCurrentAnswer.version)); }
    Duration untilCurrentRead() const override;

private:
    void apply(std::vector<DataCentreId> listed, StoreVersion);
    // Adds what was in force before the store was restored, for a time.
    void retainAfterRestore(std::vector<DataCentreId>& listed, StoreVersion);
    void logInForce() const;

    EvacuationViewOptions m_options;
    TargetCatalogue& m_targets;
    const MemberList& m_members;
    EventLog& m_log;
    const Clock& m_clock;
    MonotonicTime m_startedAt;
    bool m_known = false;
    StoreVersion m_version;
    StoreVersion m_lastChange;
    MonotonicTime m_confirmedAt;
    StoreAnswer m_lastCurrentAnswer;
    // Sorted.
    std::vector<DataCentreId> m_inForce;
    std::vector<DataCentreId> m_retained;
    MonotonicTime m_retainedUntil;
    std::function<void()> m_onChange;
    std::function<void()> m_onReadDue;
    std::function<void(StoreVersion)> m_onVersion;
};

} // namespace anvilwalk
