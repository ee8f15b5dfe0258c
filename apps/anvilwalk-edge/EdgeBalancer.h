#pragma once

#include "DecisionLog.h"
#include "EdgeHttpServer.h"
#include "EdgeSettings.h"
#include "PacketFormat.h"
#include "PacketLoop.h"
#include "RoutingView.h"

#include <anvilwalk/discovery.h>
#include <anvilwalk/eventlog.h>
#include <anvilwalk/load.h>
#include <anvilwalk/membership.h>
#include <anvilwalk/placement.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace anvilwalk {

// Platform-specific parts of a balancer.
struct EdgePlatform {
    const PacketFormat& packets;
    StoreReader& targets;
    StoreReader& routes;
    StoreReader& evacuations;
    PeerReader& peers;
    // Returns the current addresses of peers; called for each use.
    PeerViewFeed::PeerList peerList;
    std::string readyPath;
};

// One balancer process: forwards packets by flow tokens and keeps its view of targets and routes current.
class EdgeBalancer : private MembershipObserver {
public:
    EdgeBalancer(
        const EdgeSettings&, boost::asio::io_context&, const EdgePlatform&, EventLog&, const LineWriter&, const Clock&);

    // Opens the sockets and starts all tasks.
    Status start();
    // Sets the handler that reloads the settings on SIGHUP.
    void onReload(std::function<void()> reload) { m_reload = std::move(reload); }

private:
    // Leaves packets in the socket buffer until routes and targets are known or a timeout expires, so that packets
    // which arrive during startup are not dropped.
    boost::asio::awaitable<void> forwardPackets();
    // Reads the view of a relay if there is one, and follows the store.
    boost::asio::awaitable<void> startFeeds();
    // Whether a starting balancer may still receive the view of a relay.
    bool mayGetRelayView(MonotonicTime start) const;
    boost::asio::awaitable<void> runHousekeeping();
    boost::asio::awaitable<void> handleSignals();
    boost::asio::awaitable<void> stop();
    bool isReady() const { return !m_stopping && m_view.isComplete(); }
    Status startPeerServer();
    Status startMembership();
    Status startLoadExchange();
    // Logs a load message that cannot be decoded, at most one in a minute.
    void logMalformedLoadMessage(const Error&);
    std::optional<HttpReply> handlePeerRequest(std::string_view path);
    // Returns the encoded view for a peer. Peers that start together ask for the same view, so the last one is kept.
    std::string encodedView(const KnownVersions& peerVersions);
    OwnMemberState ownMemberState() const override;
    void onRelayStatus(const Member&, const ViewStatus&) override;
    void announceView();
    // Tells the warm-up limiter who runs, and logs when limits are in force or this balancer's part in them changes.
    void updateWarmUpLimiter(MonotonicTime now);
    std::string currentMetrics() const;
    // Answers metrics and queries for the target of a new connection; nullopt for other paths.
    std::optional<HttpReply> handleMetricsRequest(std::string_view path) const;
    std::string explainPlacement(const WhereQuery&) const;

    EdgeSettings m_settings;
    boost::asio::io_context& m_context;
    EventLog& m_log;
    const LineWriter& m_logWriter;
    const Clock& m_clock;
    DecisionLog m_decisions;
    TargetCatalogue m_targets;
    FlowTracker m_flows;
    TargetChooser m_chooser;
    AdmissionController m_admission;
    WarmUpLimiter m_warmUp;
    TokenRouter m_router;
    MemberList m_members;
    RoutingView m_view;
    PacketLoop m_packets;
    EdgeHttpServer m_readyServer;
    EdgeHttpServer m_metricsServer;
    // Serves views to peers; null if the settings have no address for it.
    std::unique_ptr<EdgeHttpServer> m_peerServer;
    StoreFeed m_targetFeed;
    StoreFeed m_routeFeed;
    EvacuationFeed m_evacuationFeed;
    PeerViewFeed m_peerFeed;
    RelayFeed m_relayFeed;
    // Null if the settings have no address for heartbeats.
    std::unique_ptr<Membership> m_membership;
    // Null if the settings have no address for load reports.
    std::unique_ptr<LoadExchange> m_loadExchange;
    MonotonicTime m_malformedLoadLoggedAt;
    // What was last logged of the warm-up limits.
    std::size_t m_loggedWarmUpLimits = 0;
    bool m_loggedWarmUpCandidate = false;
    PeerViewFeed::PeerList m_seeds;
    struct EncodedView {
        KnownVersions since;
        KnownVersions version;
        MonotonicTime encodedAt;
        std::string body;
    };
    std::optional<EncodedView> m_encodedView;
    boost::asio::signal_set m_signals;
    std::function<void()> m_reload;
    // Timeout of the wait for a complete view at startup; cancelled when the view is complete.
    boost::asio::steady_timer m_viewTimer;
    bool m_stopping = false;
};

} // namespace anvilwalk
