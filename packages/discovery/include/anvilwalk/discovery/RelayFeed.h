#pragma once

#include <anvilwalk/discovery/PeerViewFeed.h>
#include <anvilwalk/membership.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <optional>

namespace anvilwalk {

// Keeps the view as recent as those of the data centre's relays: fetches the changes that their heartbeats announce.
class RelayFeed {
public:
    RelayFeed(boost::asio::io_context&, PeerReader&, PeerViewObserver&, const Clock&);

    // Handles the status that a relay has just sent.
    void handleStatus(const Member& relay, const ViewStatus&);
    // Runs until the io_context ends.
    boost::asio::awaitable<void> run();
    // Returns whether changes are being fetched.
    bool isFetching() const { return m_fetching || m_announced; }
    std::uint64_t fetches() const { return m_fetches; }

private:
    struct Announcement {
        Member relay;
        ViewStatus status;
        MonotonicTime receivedAt;
    };

    bool hasNews(const ViewStatus&) const;
    boost::asio::awaitable<void> fetch(Announcement);

    // Expires when an announcement arrives.
    boost::asio::steady_timer m_wakeup;
    PeerReader& m_reader;
    PeerViewObserver& m_observer;
    const Clock& m_clock;
    // The latest announcement of changes that have not been fetched yet.
    std::optional<Announcement> m_announced;
    bool m_fetching = false;
    std::uint64_t m_fetches = 0;
};

} // namespace anvilwalk
