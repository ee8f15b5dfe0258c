#pragma once

#include <anvilwalk/placement/PlacementObserver.h>
#include <anvilwalk/placement/Target.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace anvilwalk {

// What this balancer has seen of a target's recent traffic. Changed by FlowTracker only.
struct TargetActivity {
    // Opening packets sent that no later packet of the flow has followed yet.
    std::uint32_t openings = 0;
    std::uint32_t openFlows = 0;
    // Requests sent that the client has not acknowledged an answer to.
    std::uint32_t requests = 0;
    // Signs that the target does not answer, since it last did: packets that clients had to repeat, by weight.
    std::uint32_t unanswered = 0;
    MonotonicTime lastUnanswered;
    // Smoothed time from a request to its acknowledged answer; 0 until the first sample.
    Duration responseTime { 0 };
    MonotonicTime lastResponse;
};

// An entry that the store no longer has, with the version of its last content or a later one.
struct RemovedEntry {
    std::string name;
    StoreVersion version;
};

// A target with the version of its entry in the store.
struct VersionedTarget {
    TargetRecord record;
    StoreVersion version;
};

enum class TargetPresence : std::uint8_t {
    // The store lists the target.
    Listed,
    // The store lost the entry while it may have been away; the target may still run.
    Missing,
    // The target has ended.
    Gone,
};

struct Target {
    TargetRecord record;
    FlowToken token;
    StoreVersion version;
    TargetPresence presence = TargetPresence::Listed;
    // Since when the target is missing or gone.
    MonotonicTime absentSince;
    // When the cold phase ends, on this balancer's clock.
    MonotonicTime coldUntil;
    // Another listed target has the same token and started earlier; no new flows, since they could not be told apart.
    bool tokenTaken = false;
    TargetActivity activity;
};

struct TargetCatalogueOptions {
    // A target that vanished with others, or after an outage of the store, is taken as gone after this time. Entries of
    // running targets are back within 2 s of the store's return.
    std::chrono::milliseconds missingGrace { 2500 };
    // How long a gone target is remembered, so that its clients' flows are reset rather than left waiting.
    std::chrono::seconds goneRetention { 70 };
    // Entries that vanish within one batch are suspected to have lapsed with the store if they exceed this share of
    // all entries, in percent.
    std::uint32_t lapseSharePercent = 25;
    // Fewest vanished entries in a batch for the share to count.
    std::size_t lapseMinimum = 3;
};

// The targets of all services, as the platform's store lists them, and those that ended a short while ago.
class TargetCatalogue {
public:
    explicit TargetCatalogue(const TargetCatalogueOptions&, PlacementObserver& = PlacementObserver::none());

    // Adds or changes a target. An older version than the known one changes nothing.
    void put(const TargetRecord&, StoreVersion, MonotonicTime now);
    // An entry that names no usable target under this name any more: unreadable, or of another writer.
    void putInvalid(const std::string& name, StoreVersion, MonotonicTime now);
    // Entries that the store no longer has, as one batch.
    void remove(const std::vector<RemovedEntry>&, MonotonicTime now);
    // At this version the store held exactly these entries: removes the rest.
    void retainOnly(const std::vector<std::string>& names, StoreVersion, MonotonicTime now);
    // Calls to the store failed or got no answer; removals that follow may be lapses.
    void noteStoreOutage(MonotonicTime now)
    {
        m_lastOutage = now;
        m_hadOutage = true;
    }
    // The store answered a call about targets with what is true now.
    void noteStoreAnswer(MonotonicTime now) { m_lastAnswer = now; }
    // Whether a target is missing, so that the store's next answer decides about it.
    bool hasMissing() const;
    // Takes missing targets as gone whose grace has passed, if the store has answered since, and forgets gone ones.
    void expire(MonotonicTime now);

    // The target with a token, listed, missing or gone; null if unknown.
    Target* find(FlowToken);
    // Listed and missing targets of a service, in an order that is equal on all balancers.
    const std::vector<Target*>& targetsOf(const ServiceName&);
    // Listed and missing targets of all services, with their remaining cold time.
    std::vector<VersionedTarget> present(MonotonicTime now) const;
    std::size_t size() const { return m_byName.size(); }

private:
    bool hasGraceEnded(const Target&, MonotonicTime now) const;
    bool mayHaveLapsed(std::size_t removed, MonotonicTime now) const;
    void markAbsent(Target&, bool mayReturn, MonotonicTime now);
    // Brings the maps by token and service up to date; many entries change before the next packet needs them.
    void updateIndex();
    void rebuildServices();

    TargetCatalogueOptions m_options;
    PlacementObserver& m_observer;
    // The newest run of each target.
    absl::flat_hash_map<std::string, std::unique_ptr<Target>> m_byName;
    bool m_indexCurrent = true;
    absl::flat_hash_map<FlowToken, Target*> m_byToken;
    absl::flat_hash_map<ServiceName, std::vector<Target*>> m_byService;
    MonotonicTime m_lastOutage;
    MonotonicTime m_lastAnswer;
    bool m_hadOutage = false;
};

} // namespace anvilwalk
