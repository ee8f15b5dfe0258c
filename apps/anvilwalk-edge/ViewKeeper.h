#pragma once

#include <anvilwalk/discovery.h>
#include <anvilwalk/eventlog.h>
#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

namespace anvilwalk {

// Puts what the store says into the catalogue of targets and the router, and logs each change.
class ViewKeeper {
public:
    ViewKeeper(TargetCatalogue&, TokenRouter&, EventLog&, const Clock&);

    StoreFeedObserver& targetObserver() { return m_targetObserver; }
    StoreFeedObserver& routeObserver() { return m_routeObserver; }

    // Targets and routes have been read once.
    bool isComplete() const { return m_targetObserver.hasSnapshot && m_router.routes() != nullptr; }

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
        void onContact() override;
        void onAnswer(StoreVersion) override;
        void onFailure(const Error&) override;

        bool hasSnapshot = false;
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
    void updateCurrency();

    TargetCatalogue& m_targets;
    TokenRouter& m_router;
    EventLog& m_log;
    const Clock& m_clock;
    TargetObserver m_targetObserver;
    RouteObserver m_routeObserver;
};

} // namespace anvilwalk
