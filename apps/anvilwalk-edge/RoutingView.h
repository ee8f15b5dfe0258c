#pragma once

#include "EvacuationView.h"

#include <anvilwalk/discovery.h>
#include <anvilwalk/eventlog.h>
#include <anvilwalk/membership.h>
#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

namespace anvilwalk {

struct RoutingViewOptions {
    // Targets that the store has not confirmed for this time are read from the store itself, not from a replica.
    std::chrono::milliseconds maxTargetsAge { 2500 };
    // A view that a relay has confirmed at most this long ago needs no reads of the store.
    std::chrono::milliseconds maxRelayAge { 2000 };
    // Part of that time which remains for a relay's answer to arrive after its longest watch.
    std::chrono::milliseconds relayMargin { 1000 };
    // Time after the start in which a balancer that has read the store waits for the relays of its data centre.
    std::chrono::milliseconds startupTime { 0 };
    // Least time between reads that are not stale for the decisions of followers.
    std::chrono::milliseconds currentReadInterval { 1000 };
    EvacuationViewOptions evacuations {};
};

// The balancer's view of targets, routes and evacuations. Applies the changes that the store or a relay reports to the
// target catalogue and the router and logs each of them; while neither answers, applies the views of other peers.
class RoutingView final : public PeerViewObserver {
public:
    RoutingView(const RoutingViewOptions&, TargetCatalogue&, TokenRouter&, const MemberList&, EventLog&, const Clock&);

    StoreFeedObserver& targetObserver() { return m_targetObserver; }
    StoreFeedObserver& routeObserver() { return m_routeObserver; }

    EvacuationView& evacuations() { return m_evacuations; }
    const EvacuationView& evacuations() const { return m_evacuations; }

    // Whether targets, routes and evacuations are known.
    bool isComplete() const { return m_hasTargets && m_router.routes() != nullptr && m_evacuations.isKnown(); }
    // Sets a handler that is called once, when the view becomes complete.
    void onComplete(std::function<void()> handler) { m_onComplete = std::move(handler); }
    // Sets a handler that is called after each change, so that relays announce it.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }
    // Returns what is newer than the versions that a peer has. Requires isComplete().
    ViewSnapshot snapshot(const KnownVersions& = {}) const;
    ViewStatus status() const;
    // Whether a relay has confirmed this view recently enough.
    bool isConfirmedByRelay() const { return relayConfirmationRemaining() > Duration::zero(); }
    // Whether a decision about a missing target or an unknown token now waits for a read of targets that is not stale.
    bool needsCurrentTargets() const;
    // Highest era of the store that this balancer knows of; 0 before the first one.
    StoreEra storeEra() const { return m_era.value_or(StoreEra()); }
    // Records the era of a relay's status, whether or not the status confirms this view.
    void recordRelayStatus(const ViewStatus& status) { recordVersion(status.targets, "relay"); }
    // Recomputes what depends on the age of the view, and logs a change of this balancer's role.
    void refresh();
    std::uint64_t peerViewsApplied() const { return m_peerViewsApplied; }

    bool needsPeerView() const override;
    KnownVersions knownVersions() const override;
    void onPeerView(const ViewSnapshot&, const Ipv4Endpoint& peer) override;
    void onPeerFailure(const Ipv4Endpoint& peer, const Error&) override;
    void onRelayConfirmation(const ViewStatus&, MonotonicTime receivedAt) override;

    // Store version of the last answer about targets, and the ages of targets and routes: the time since the store last
    // confirmed them.
    StoreVersion targetsVersion() const { return m_targetObserver.answeredVersion; }
    Duration targetsAge() const { return m_clock.now() - m_targetObserver.confirmedAt; }
    Duration routesAge() const { return m_clock.now() - m_routeObserver.confirmedAt; }

private:
    // Common part of the observers of both feeds.
    class FeedObserver : public StoreFeedObserver {
    public:
        FeedObserver(RoutingView& view, std::string_view feed)
            : m_view(view)
            , m_feed(feed)
        {
        }
        void onReachable() override;
        void onResponse(const StoreAnswer&) override;
        void onFailure(const Error&) override;
        void onRestored(StoreEra era) override { m_view.recordEra(era, m_feed); }
        StoreEra highestEra() const override { return m_view.storeEra(); }
        Duration untilNeeded() const override { return m_view.untilStoreNeeded(); }
        bool hasRelays() const override { return m_view.isComplete() && m_view.isFollower(); }

        bool inContact = false;
        // Version of the last answer.
        StoreVersion answeredVersion;
        // The data includes every change that the store had accepted at this time.
        MonotonicTime confirmedAt;

    protected:
        RoutingView& m_view;
        std::string_view m_feed;
    };

    class TargetObserver final : public FeedObserver {
    public:
        using FeedObserver::FeedObserver;
        void onResponse(const StoreAnswer&) override;
        std::optional<Duration> untilCurrentRead() const override { return m_view.untilCurrentTargetsRead(); }
        StoreVersion passedOnVersion() const override { return passedOn; }
        void onFailure(const Error&) override;
        void onSnapshot(const std::vector<StoreEntry>&, StoreVersion) override;
        void onChanges(const std::vector<StoreEntry>&, StoreVersion) override;

        // Version of the last confirmation by a relay since the last failed call.
        StoreVersion passedOn;
    };

    class RouteObserver final : public FeedObserver {
    public:
        using FeedObserver::FeedObserver;
        void onResponse(const StoreAnswer&) override;
        std::chrono::milliseconds maxWatchWait() const override { return m_view.maxRoutesWatchWait(); }
        void onSnapshot(const std::vector<StoreEntry>&, StoreVersion) override;
        void onChanges(const std::vector<StoreEntry>&, StoreVersion) override;
    };

    // Records the era of data from the given source. A higher one than before shows that the store was restored from an
    // older copy; what the copy lacks is then no evidence against open flows for a time.
    void recordEra(StoreEra, std::string_view source);
    void recordVersion(StoreVersion, std::string_view source);
    void putTarget(const StoreEntry&, MonotonicTime now);
    void putRoutes(const StoreEntry&);
    void setRoutes(const RouteTablePointer&);
    void logTarget(const TargetRecord&, StoreVersion);
    bool isFollower() const { return m_members.role() == MemberRole::Follower; }
    void applyPeerTargets(const ViewSnapshot&);
    void updateFreshness();
    void notifyIfComplete();
    void notifyChange();
    Duration relayConfirmationRemaining() const;
    // Time for which relays make reads of the store unnecessary.
    Duration untilStoreNeeded() const;
    // Confirms the targets if they include all changes up to the last known version of the store.
    void confirmTargets();
    // Records for which time the targets are confirmed, and decides what waited for that.
    void recordTargetsConfirmed(MonotonicTime);
    // Age of the targets at which they are read from the store itself.
    Duration targetsAgeLimit() const;
    // Wait of a watch of routes that ends in time to confirm the targets.
    std::chrono::milliseconds maxRoutesWatchWait() const;
    std::optional<MonotonicTime> currentTargetsDue() const;
    std::optional<Duration> untilCurrentTargetsRead() const;

    RoutingViewOptions m_options;
    TargetCatalogue& m_targets;
    TokenRouter& m_router;
    const MemberList& m_members;
    EventLog& m_log;
    const Clock& m_clock;
    MonotonicTime m_startedAt;
    // nullopt until the first version is known.
    std::optional<StoreEra> m_era;
    MemberRole m_loggedRole = MemberRole::Independent;
    EvacuationView m_evacuations;
    TargetObserver m_targetObserver;
    RouteObserver m_routeObserver;
    // A full list of targets has been read, from the store or a peer.
    bool m_hasTargets = false;
    // A full list of targets has been read from the store, by this balancer or a relay.
    bool m_hasStoreTargets = false;
    // When the store last answered reads, as far as relays have confirmed it for this view.
    MonotonicTime m_relayTargetsAt;
    MonotonicTime m_relayRoutesAt;
    bool m_hasRelayConfirmation = false;
    // The last answer of the store about any kind of entry that was not stale. All kinds share one version counter, so
    // targets of this version or a later one include every change up to that time.
    StoreAnswer m_lastCurrentAnswer;
    std::uint64_t m_peerViewsApplied = 0;
    std::function<void()> m_onComplete;
    std::function<void()> m_onChange;
};

} // namespace anvilwalk
