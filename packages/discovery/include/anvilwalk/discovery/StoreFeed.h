#pragma once

#include <anvilwalk/discovery/StoreReader.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace anvilwalk {

// Receives what a feed learns.
class StoreFeedObserver {
public:
    virtual ~StoreFeedObserver() = default;

    // All entries there are at a version.
    virtual void onSnapshot(const std::vector<StoreEntry>&, StoreVersion) = 0;
    virtual void onChanges(const std::vector<StoreEntry>&, StoreVersion) = 0;
    // The store answered a call after it had not, or for the first time.
    virtual void onContact() = 0;
    // The store answered a call; its version then. Called before what the answer brings.
    virtual void onAnswer(StoreVersion, ReadFreshness) = 0;
    // Whether entries are about to return or to be given up, so that the next watch must be short and current.
    virtual bool expectsChanges() const { return false; }
    // A call failed. Called for each failure.
    virtual void onFailure(const Error&) = 0;
};

struct StoreFeedOptions {
    // Longest wait of one watch. A connection that the store answers no more is noticed at its end.
    std::chrono::milliseconds watchWait { 5000 };
    // The same while changes are expected; a little over the time after which missing targets are given up.
    std::chrono::milliseconds expectantWait { 2600 };
    // Watches may be answered from a copy that is behind, unless changes are expected.
    bool staleWatches = false;
    // Pause after a watch that brought changes; those that follow closely come with one call.
    std::chrono::milliseconds changePause { 500 };
    // First pause after a failed call; doubles with each failure up to the limit.
    std::chrono::milliseconds retryPause { 100 };
    std::chrono::milliseconds maxRetryPause { 1000 };
    std::uint64_t seed = 0;
};

// Keeps a copy of one kind of entry current: lists all entries, then watches. Lists again after each
// watch that failed. A list that was turned away continues where it stopped: many balancers that start together ask for
// more pages a second than the store gives.
class StoreFeed {
public:
    StoreFeed(const StoreFeedOptions&, boost::asio::io_context&, StoreReader&, StoreFeedObserver&);

    // Runs until the io_context ends.
    boost::asio::awaitable<void> run();

private:
    // A list that is in progress.
    struct Listing {
        std::vector<StoreEntry> entries;
        // Version of the first page. Later pages are newer; watching from here misses nothing.
        StoreVersion version;
        // Name after which the next page starts.
        std::string after;
    };

    boost::asio::awaitable<bool> takeSnapshot();
    boost::asio::awaitable<bool> takeChanges();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds);
    void noteSuccess(StoreVersion, ReadFreshness);
    void noteFailure(const Error&);
    std::chrono::milliseconds nextRetryPause();

    StoreFeedOptions m_options;
    boost::asio::steady_timer m_timer;
    StoreReader& m_reader;
    StoreFeedObserver& m_observer;
    pcg32 m_random;
    StoreVersion m_version;
    Listing m_listing;
    bool m_hasSnapshot = false;
    bool m_inContact = false;
    std::chrono::milliseconds m_retryPause;
};

} // namespace anvilwalk
