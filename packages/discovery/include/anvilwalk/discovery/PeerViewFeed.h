#pragma once

#include <anvilwalk/discovery/ViewSnapshot.h>
#include <anvilwalk/membership.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace anvilwalk {

// Versions of the data that a balancer has; 0 for data that it does not have yet.
struct KnownVersions {
    StoreVersion targets;
    ConfigVersion config;
    StoreVersion evacuations {};

    friend bool operator==(const KnownVersions&, const KnownVersions&) = default;
};

// Fetches the view of another balancer.
class PeerReader {
public:
    virtual ~PeerReader() = default;

    // The view of a peer; nullopt if it is not newer than the known versions. Unavailable: the peer has no view yet or
    // does not respond. InvalidArgument: its response cannot be decoded.
    virtual boost::asio::awaitable<Result<std::optional<ViewSnapshot>>> read(
        const Ipv4Endpoint& peer, const KnownVersions&)
        = 0;
};

// Receives the views that a PeerViewFeed fetches, and decides when it fetches.
class PeerViewObserver {
public:
    virtual ~PeerViewObserver() = default;

    // Whether the store does not respond to this balancer, so that it depends on the views of peers.
    virtual bool needsPeerView() const = 0;
    virtual KnownVersions knownVersions() const = 0;
    virtual void onPeerView(const ViewSnapshot&, const Ipv4Endpoint& peer) = 0;
    virtual void onPeerFailure(const Ipv4Endpoint& peer, const Error&) = 0;
    // This balancer's view is as recent as that of a relay, whose status was received at the given time.
    virtual void onRelayConfirmation(const ViewStatus&, MonotonicTime receivedAt) = 0;
};

struct PeerViewFeedOptions {
    // Address at which this balancer serves its view to peers; excluded from the peers that are queried.
    Ipv4Endpoint self;
    // Delay before the first round. The store usually responds to a starting balancer within this time.
    std::chrono::milliseconds startDelay { 300 };
    // Delay between two rounds without a view. Short, because every packet is dropped until there is one.
    std::chrono::milliseconds initialInterval { 500 };
    // Delay between two rounds with a view.
    std::chrono::milliseconds refreshInterval { 3000 };
    std::uint64_t seed = 0;
};

// Fetches the views of other balancers while the store does not respond to this one: after a start during a store
// outage, and while the store rejects the requests of this balancer but not those of others.
class PeerViewFeed {
public:
    // Returns the current addresses of the peers, which may be stale and change at run time.
    using PeerList = std::function<std::vector<Ipv4Endpoint>()>;

    PeerViewFeed(const PeerViewFeedOptions&, boost::asio::io_context&, PeerList, PeerReader&, PeerViewObserver&);

    // Runs until the io_context ends.
    boost::asio::awaitable<void> run();

private:
    // Queries all peers in random order, because any of them may be behind.
    boost::asio::awaitable<void> queryPeers();
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    bool hasView() const;

    PeerViewFeedOptions m_options;
    boost::asio::steady_timer m_timer;
    PeerList m_peers;
    PeerReader& m_reader;
    PeerViewObserver& m_observer;
    pcg32 m_random;
};

} // namespace anvilwalk
