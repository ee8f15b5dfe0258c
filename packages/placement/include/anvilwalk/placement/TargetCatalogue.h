#pragma once

#include <anvilwalk/placement/PlacementObserver.h>
#include <anvilwalk/placement/SharedTargetLoad.h>
#include <anvilwalk/placement/StoreEra.h>
#include <anvilwalk/placement/Target.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilwalk {

// This balancer's view of a target's recent traffic. Modified by FlowTracker only.
struct TargetActivity {
    // Flows whose opening packet was forwarded and that no later packet has followed yet.
    std::uint32_t pendingOpenings = 0;
    std::uint32_t openFlows = 0;
    // Requests whose response the client has not acknowledged yet.
    std::uint32_t requestsInProgress = 0;
    // Weighted count of the packets that clients had to retransmit since the target last responded.
    std::uint32_t suspicionLevel = 0;
    MonotonicTime lastUnanswered;
    // Moving average of the time from a request to the acknowledgement of its response; 0 until the first sample.
    Duration responseTime { 0 };
    MonotonicTime lastResponse;
    // Number of responses and sum of their times since the start.
    std::uint64_t responses = 0;
    Duration responseTimeSum { 0 };
};

// An entry that was removed from the store, with the version of its last content or a later one.
struct RemovedEntry {
    std::string name;
    StoreVersion version;
};

enum class TargetPresence : std::uint8_t {
    // The store lists the target.
    Listed,
    // The entry has disappeared, possibly because of a store outage; the target may still be running.
    Missing,
    // The target has terminated: it had announced its end, or a current answer of the store after the time in which
    // running targets restore their entries does not list it.
    Gone,
};

// A target as one balancer knows it, for other balancers.
struct VersionedTarget {
    TargetRecord record;
    // Version of the entry's last content.
    StoreVersion version;
    // Version of the store at which this state was read: the version of the content or of its removal.
    StoreVersion readVersion {};
    TargetPresence presence = TargetPresence::Listed;
};

// Targets that changed after a version of the store.
struct TargetChanges {
    std::vector<VersionedTarget> targets;
    // These are all targets, because changes since that version are no longer known.
    bool complete = false;
};

struct Target {
    TargetRecord record;
    FlowToken token;
    StoreVersion version;
    // Version of the store at which the content or the removal was read.
    StoreVersion readVersion;
    TargetPresence presence = TargetPresence::Listed;
    // When the target became missing or gone.
    MonotonicTime absentSince;
    // When this balancer learned that the target drains.
    MonotonicTime drainingSince;
    // End of the warm-up time on this balancer's clock.
    MonotonicTime coldUntil;
    // Another listed target with the same token started earlier. This target gets no new flows, because packets for the
    // two could not be distinguished.
    bool tokenCollides = false;
    // The target's data centre is evacuated: the target keeps its flows and gets no new ones.
    bool evacuated = false;
    TargetActivity activity;
    SharedTargetLoad shared;
};

// After the store was restored from an older copy, writers notice the loss and write again what the copy lacks: running
// targets within 2 s, operators' tools within 5 s. Until then, what the store does not list is no evidence against a
// flow.
inline constexpr std::chrono::milliseconds storeRestoreTime { 5000 };

struct TargetCatalogueOptions {
    // A target whose entry was removed is considered gone after this time. Running targets restore their entries within
    // 2 s of the store's recovery.
    std::chrono::milliseconds missingGracePeriod { 2500 };
    // A target serves for this time after it has announced its end. Only then does the removal of its entry show that
    // it has terminated.
    std::chrono::milliseconds minDrainTime { 3000 };
    // How long a gone target is kept, so that its flows are reset and clients need not wait for their timeout.
    std::chrono::seconds goneRetention { 70 };
    // Removals of one batch are treated as a mass expiry caused by the store, whatever the targets have announced, if
    // they reach this percentage of all entries.
    std::uint32_t massExpiryPercent = 25;
    // Minimum number of removals in a batch for the percentage to apply.
    std::size_t massExpiryMinimum = 3;
};

// All targets listed in the platform's store, and those that terminated recently.
class TargetCatalogue {
public:
    explicit TargetCatalogue(const TargetCatalogueOptions&, PlacementObserver& = PlacementObserver::none());

    // Adds or updates a target. Ignored if the version is not newer than the known one. If only the store's era has
    // risen, a target that drains continues to drain, and a warm-up time does not grow: the entry is an older copy.
    void put(const TargetRecord&, StoreVersion, MonotonicTime now);
    // Records that the entry under this name is no longer valid: it cannot be parsed or is owned by another writer.
    void putInvalid(const std::string& name, StoreVersion, MonotonicTime now);
    // Removes one batch of entries that were no longer in the store at the given version. The targets are missing, not
    // gone, unless they have announced their end: the store also removes the entries of running targets, when it was
    // not available to them.
    void remove(const std::vector<RemovedEntry>&, StoreVersion readVersion, MonotonicTime now);
    // Adopts the state of a target as another balancer has read it from the store. Ignored if it is not newer.
    void adopt(const VersionedTarget&, MonotonicTime now);
    // Removes all entries but these, which were the complete contents of the store at this version.
    void retainOnly(const std::vector<std::string>& names, StoreVersion, MonotonicTime now);
    // Records that a call to the store failed or timed out. Removals that follow may be caused by expiry of the
    // entries.
    void recordStoreOutage(MonotonicTime now)
    {
        m_lastOutage = now;
        m_hadOutage = true;
    }
    // Records that the store was restored from an older copy. Targets that it does not list any more are missing, and
    // none of them is gone before the copy's gaps can have been filled.
    void recordStoreRestored(MonotonicTime now)
    {
        recordStoreOutage(now);
        m_restoreEnd = now + storeRestoreTime;
    }
    // Records that the targets include every change that the store had accepted at the given time.
    void recordConfirmed(MonotonicTime at) { m_confirmedAt = std::max(m_confirmedAt, at); }
    // Sets the data centres whose targets get no new flows.
    void setEvacuated(absl::flat_hash_set<DataCentreId> dataCentres);
    // Returns the earliest time at which a current answer of the store decides whether a missing target has terminated;
    // nullopt if no decision is pending.
    std::optional<MonotonicTime> currentAnswerDue() const;
    // Marks missing targets as gone once their grace period has passed and the store has answered after it. Discards
    // gone targets after their retention.
    void expire(MonotonicTime now);

    // Returns the target with a token, whether listed, missing or gone; null if unknown.
    Target* find(FlowToken);
    // Returns the listed and missing targets of a service, in the same order on all balancers.
    const std::vector<Target*>& targetsOf(const ServiceName&);
    // Returns all targets that have not terminated.
    const std::vector<Target*>& present();
    // State of the load summary whose figures the targets hold.
    const SharedLoadStatus& sharedLoad() const { return m_sharedLoad; }
    void setSharedLoad(const SharedLoadStatus& status) { m_sharedLoad = status; }
    // Returns the targets that changed after a version, or all targets with 0, with their remaining warm-up time.
    TargetChanges changesSince(StoreVersion, MonotonicTime now) const;
    // Version of the store at which the last change was read.
    StoreVersion lastChange() const;
    std::size_t size() const { return m_byName.size(); }

private:
    MonotonicTime graceEndOf(const Target&) const;
    bool isGracePeriodOver(const Target&, MonotonicTime now) const;
    bool mayHaveExpired(std::size_t removed, MonotonicTime now) const;
    bool hasAnnouncedEnd(const Target&, MonotonicTime now) const;
    void markAbsent(Target&, TargetPresence, MonotonicTime now);
    // Rebuilds the indexes by token and service if they are out of date. Done lazily, because many entries may change
    // between two packets.
    void updateIndex();
    void rebuildServices();

    TargetCatalogueOptions m_options;
    PlacementObserver& m_observer;
    // The latest run of each target, by entry name.
    absl::flat_hash_map<std::string, std::unique_ptr<Target>> m_byName;
    bool m_indexCurrent = true;
    absl::flat_hash_map<FlowToken, Target*> m_byToken;
    absl::flat_hash_map<ServiceName, std::vector<Target*>> m_byService;
    std::vector<Target*> m_present;
    SharedLoadStatus m_sharedLoad;
    absl::flat_hash_set<DataCentreId> m_evacuated;
    // Changes up to this version may have been discarded with their targets.
    StoreVersion m_discardedVersion;
    MonotonicTime m_lastOutage;
    // End of the time in which entries that a restored store lacks are written again.
    MonotonicTime m_restoreEnd;
    MonotonicTime m_confirmedAt;
    bool m_hadOutage = false;
};

} // namespace anvilwalk
