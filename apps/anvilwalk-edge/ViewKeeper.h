#pragma once

#include <anvilwalk/discovery.h>
#include <anvilwalk/eventlog.h>
#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <cstdint>
#include <functional>
#include <utility>

namespace anvilwalk {

// Puts what the store says into the catalogue of targets and the router, and logs each change. While the store does not
// answer, takes what peers say.
class ViewKeeper final : public PeerViewObserver {
public:
    ViewKeeper(TargetCatalogue&, TokenRouter&, EventLog&, const Clock&);

    StoreFeedObserver& targetObserver() { return m_targetObserver; }
    StoreFeedObserver& routeObserver() { return m_routeObserver; }

    // Targets and routes are known.
    bool isComplete() const { return m_hasTargets && m_router.routes() != nullptr; }
    // Called when the view becomes complete.
    void onComplete(std::function<void()> handler) { m_onComplete = std::move(handler); }
    // The view for a peer; only if it is complete.
    ViewSnapshot snapshot() const;
    std::uint64_t peerViewsTaken() const { return m_peerViewsTaken; }

    bool needsPeerView() const override { return !m_targetObserver.inContact || !m_routeObserver.inContact; }
    KnownVersions knownVersions() const override;
    void onPeerView(const ViewSnapshot&, const Ipv4Endpoint& peer) override;
    void onPeerFailure(const Ipv4Endpoint& peer, const Error&) override;

    // Version of the store at the last answer about targets, and how long ago that was.
    StoreVersion targetsVersion() const { return m_targetObserver.answeredVersion; }
    Duration targetsAge() const { return m_clock.now() - m_targetObserver.answeredAt; }
    Duration routesAge() const { return m_clock.now() - m_routeObserver.answeredAt; }

private:
    // What both feeds have in common.
    class FeedObserver : public StoreFeedObserver {
    public:
        FeedObserver(ViewKeeper& keeper, std::string_view feed)
            : m_keeper(keeper)
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
        ViewKeeper& m_keeper;
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
    void takePeerTargets(const ViewSnapshot&);
    void updateCurrency();
    void tellIfComplete();

    TargetCatalogue& m_targets;
    TokenRouter& m_router;
    EventLog& m_log;
    const Clock& m_clock;
    TargetObserver m_targetObserver;
    RouteObserver m_routeObserver;
    // All targets have been read, from the store or a peer.
    bool m_hasTargets = false;
    // All targets have been read from the store.
    bool m_hasStoreTargets = false;
    std::uint64_t m_peerViewsTaken = 0;
    std::function<void()> m_onComplete;
};

} // namespace anvilwalk
