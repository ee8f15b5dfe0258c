#pragma once

#include <anvilwalk/discovery/ViewSnapshot.h>
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

// Versions that a balancer has; 0 for what it does not know yet.
struct KnownVersions {
    StoreVersion targets;
    ConfigVersion config;

    friend bool operator==(const KnownVersions&, const KnownVersions&) = default;
};

// Asks other balancers for their view.
class PeerReader {
public:
    virtual ~PeerReader() = default;

    // The view of a peer; nothing if it has none newer than what is known. Unavailable: the peer has no view yet or
    // does not answer. InvalidArgument: its answer cannot be read.
    virtual boost::asio::awaitable<Result<std::optional<ViewSnapshot>>> read(
        const Ipv4Endpoint& peer, const KnownVersions&)
        = 0;
};

// Uses the views of peers.
class PeerViewObserver {
public:
    virtual ~PeerViewObserver() = default;

    // Whether the store leaves this balancer without answers.
    virtual bool wantsPeerView() const = 0;
    virtual KnownVersions knownVersions() const = 0;
    virtual void onPeerView(const ViewSnapshot&, const Ipv4Endpoint& peer) = 0;
    virtual void onPeerFailure(const Ipv4Endpoint& peer, const Error&) = 0;
};

struct PeerViewFeedOptions {
    // Address at which this balancer answers peers; it does not ask itself.
    Ipv4Endpoint self;
    // The store usually answers a starting balancer within this time.
    std::chrono::milliseconds startDelay { 300 };
    // Pause between two rounds while nothing is known, in which every packet is lost.
    std::chrono::milliseconds unreadyPause { 500 };
    // Pause between two rounds otherwise.
    std::chrono::milliseconds refreshPause { 3000 };
    std::uint64_t seed = 0;
};

// Takes over the views of other balancers while the store does not answer this one: at a start during an outage, and
// while the store turns away this balancer but not the others.
class PeerViewFeed {
public:
    // The addresses of peers now; they may be stale, and change while the process runs.
    using PeerList = std::function<std::vector<Ipv4Endpoint>()>;

    PeerViewFeed(const PeerViewFeedOptions&, boost::asio::io_context&, PeerList, PeerReader&, PeerViewObserver&);

    // Runs until the io_context ends.
    boost::asio::awaitable<void> run();

private:
    // Asks peers in random order until one has answered.
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds);
    bool hasView() const;

    PeerViewFeedOptions m_options;
    boost::asio::steady_timer m_timer;
    PeerList m_peers;
    PeerReader& m_reader;
    PeerViewObserver& m_observer;
    pcg32 m_random;
};

} // namespace anvilwalk
