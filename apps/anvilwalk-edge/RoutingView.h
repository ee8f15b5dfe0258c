#pragma once

#include <anvilwalk/discovery.h>
#include <anvilwalk/eventlog.h>
#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <cstdint>
#include <functional>
#include <utility>

namespace anvilwalk {

// The balancer's view of targets and routes. Applies store updates to the target catalogue and the router and logs each
// change; while the store is unreachable, applies the views of peers.
class RoutingView final : public PeerViewObserver {
public:
    RoutingView(TargetCatalogue&, TokenRouter&, EventLog&, const Clock&);

    StoreFeedObserver& targetObserver() { return m_targetObserver; }
    StoreFeedObserver& routeObserver() { return m_routeObserver; }

    // Whether both targets and routes are known.
    bool isComplete() const { return m_hasTargets && m_router.routes() != nullptr; }
    // Sets a handler that is called once, when the view becomes complete.
    void onComplete(std::function<void()> handler) { m_onComplete = std::move(handler); }
    // Returns the view for a peer. Requires isComplete().
    ViewSnapshot snapshot() const;
    std::uint64_t peerViewsApplied() const { return m_peerViewsApplied; }

    bool needsPeerView() const override { return !m_targetObserver.inContact || !m_routeObserver.inContact; }
    KnownVersions knownVersions() const override;
    void onPeerView(const ViewSnapshot&, const Ipv4Endpoint& peer) override;
    void onPeerFailure(const Ipv4Endpoint& peer, const Error&) override;

    // Store version of the last answer about targets, and the time since that answer.
    StoreVersion targetsVersion() const { return m_targetObserver.answeredVersion; }
    Duration targetsAge() const { return m_clock.now() - m_targetObserver.answeredAt; }
    Duration routesAge() const { return m_clock.now() - m_routeObserver.answeredAt; }

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
        void onResponse(StoreVersion, ReadFreshness) override;
        void onFailure(const Error&) override;

        bool inContact = false;
        // Version and time of the last answer.
        StoreVersion answeredVersion;
        MonotonicTime answeredAt;

    protected:
        RoutingView& m_view;
        std::string_view m_feed;
    };

    class TargetObserver final : public FeedObserver {
    public:
        using FeedObserver::FeedObserver;
        void onResponse(StoreVersion, ReadFreshness) override;
        bool expectsChanges() const override;
        void onSnapshot(const std::vector<StoreEntry>&, StoreVersion) override;
        void onChanges(const std::vector<StoreEntry>&, StoreVersion) override;
    };

    class RouteObserver final : public FeedObserver {
    public:
        using FeedObserver::FeedObserver;
        void onSnapshot(const std::vector<StoreEntry>&, StoreVersion) override;
        void onChanges(const std::vector<StoreEntry>&, StoreVersion) override;
    };

    void putTarget(const StoreEntry&, MonotonicTime now);
    void putRoutes(const StoreEntry&);
    void applyPeerTargets(const ViewSnapshot&);
    void updateFreshness();
    void notifyIfComplete();

    TargetCatalogue& m_targets;
    TokenRouter& m_router;
    EventLog& m_log;
    const Clock& m_clock;
    TargetObserver m_targetObserver;
    RouteObserver m_routeObserver;
    // A full list of targets has been read, from the store or a peer.
    bool m_hasTargets = false;
    // A full list of targets has been read from the store.
    bool m_hasStoreTargets = false;
    std::uint64_t m_peerViewsApplied = 0;
    std::function<void()> m_onComplete;
};

} // namespace anvilwalk
