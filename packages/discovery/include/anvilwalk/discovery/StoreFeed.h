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

// Receives the entries and the state of a StoreFeed.
class StoreFeedObserver {
public:
    virtual ~StoreFeedObserver() = default;

    // The complete list of entries at a version.
    virtual void onSnapshot(const std::vector<StoreEntry>&, StoreVersion) = 0;
    virtual void onChanges(const std::vector<StoreEntry>&, StoreVersion) = 0;
    // The store responded for the first time, or for the first time since a failed call.
    virtual void onReachable() = 0;
    // The store responded to a call; the version is that of the response. Called before the entries of the response are
    // delivered.
    virtual void onResponse(StoreVersion, ReadFreshness) = 0;
    // Whether missing entries are about to reappear or expire, so that the next watch must be short and must not be
    // answered from a stale replica.
    virtual bool expectsChanges() const { return false; }
    // Called for each failed call.
    virtual void onFailure(const Error&) = 0;
};

struct StoreFeedOptions {
    // Maximum wait of one watch. Also bounds the time until a dead connection is detected.
    std::chrono::milliseconds watchWait { 5000 };
    // The same while changes are expected; slightly longer than the time after which missing targets expire.
    std::chrono::milliseconds shortWatchWait { 2600 };
    // Whether watches may be answered from a stale replica while no changes are expected.
    bool allowStale = false;
    // Delay after a watch that returned changes, so that changes in quick succession are fetched with one call.
    std::chrono::milliseconds changeDelay { 500 };
    // Delay after the first failed call; doubles with each further failure up to the maximum.
    std::chrono::milliseconds retryDelay { 100 };
    std::chrono::milliseconds maxRetryDelay { 1000 };
    std::uint64_t seed = 0;
};

// Keeps a replica of one kind of entry up to date: lists all entries, then watches for changes, and lists again after
// each failed watch. A list whose page request was rejected resumes at that page, because many balancers that start at
// the same time request more pages per second than the store serves.
class StoreFeed {
public:
    StoreFeed(const StoreFeedOptions&, boost::asio::io_context&, StoreReader&, StoreFeedObserver&);

    // Runs until the io_context ends.
    boost::asio::awaitable<void> run();

private:
    // State of a paginated list in progress.
    struct Listing {
        std::vector<StoreEntry> entries;
        // Version of the first page. Later pages may be newer, so a watch from this version misses no change.
        StoreVersion version;
        // The next page starts after this name.
        std::string after;
    };

    boost::asio::awaitable<bool> fetchSnapshot();
    boost::asio::awaitable<bool> fetchChanges();
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    void handleSuccess(StoreVersion, ReadFreshness);
    void handleFailure(const Error&);
    std::chrono::milliseconds nextRetryDelay();

    StoreFeedOptions m_options;
    boost::asio::steady_timer m_timer;
    StoreReader& m_reader;
    StoreFeedObserver& m_observer;
    pcg32 m_random;
    StoreVersion m_version;
    Listing m_listing;
    bool m_hasSnapshot = false;
    bool m_reachable = false;
    std::chrono::milliseconds m_retryDelay;
};

} // namespace anvilwalk
