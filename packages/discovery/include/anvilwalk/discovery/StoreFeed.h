#pragma once

#include <anvilwalk/discovery/RetryBackoff.h>
#include <anvilwalk/discovery/StoreReader.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilwalk {

// What a response of the store says about the age of its data.
struct StoreAnswer {
    // Version of the store at the time of the response.
    StoreVersion version;
    // The response includes every change that the store had accepted at this time; nullopt if it may be stale.
    std::optional<MonotonicTime> currentAt;
};

// Receives the entries and the state of a StoreFeed.
class StoreFeedObserver {
public:
    virtual ~StoreFeedObserver() = default;

    // The complete list of entries at a version.
    virtual void onSnapshot(const std::vector<StoreEntry>&, StoreVersion) = 0;
    virtual void onChanges(const std::vector<StoreEntry>&, StoreVersion) = 0;
    // The store responded for the first time, or for the first time since a failed call.
    virtual void onReachable() = 0;
    // The store responded to a call. Called before the entries of the response are delivered.
    virtual void onResponse(const StoreAnswer&) = 0;
    // An answer was of a higher era than the data, so the store was restored from an older copy. The answer is not
    // delivered; the feed lists all entries again.
    virtual void onRestored(StoreEra) { }
    // Highest era that is known from any source; answers of lower eras count as failed calls.
    virtual StoreEra highestEra() const { return {}; }
    // Time until a decision needs a read that is not stale; nullopt if none does.
    virtual std::optional<Duration> untilCurrentRead() const { return std::nullopt; }
    // Time for which the store need not be read, because other balancers pass its changes on.
    virtual Duration untilNeeded() const { return Duration::zero(); }
    // Version up to which other balancers have passed on all changes since the last failed call; 0 if unknown.
    virtual StoreVersion passedOnVersion() const { return {}; }
    // Upper limit of a watch's wait, for data whose age others rely on: followers, or data that this feed confirms.
    virtual std::chrono::milliseconds maxWatchWait() const { return std::chrono::hours(1); }
    // Whether other balancers are expected to pass changes on soon, so that failed calls need not be repeated quickly.
    virtual bool hasRelays() const { return false; }
    // Called for each failed call.
    virtual void onFailure(const Error&) = 0;
};

struct StoreFeedOptions {
    // Maximum wait of one watch. Also bounds the time until a dead connection is detected.
    std::chrono::milliseconds watchWait { 5000 };
    // Whether lists and watches may be answered from a stale replica. A stale list is brought up to date with one
    // current read before it is delivered.
    bool allowStale = false;
    // Delay after a watch that returned changes, so that changes in quick succession are fetched with one call. Ends
    // early when a decision needs a current read.
    std::chrono::milliseconds changeDelay { 500 };
    // After a longer pause the store may have discarded the changes since the last watch.
    std::chrono::milliseconds maxPause { 2000 };
    // Delay after the first failed call; doubles with each further failure up to the maximum.
    std::chrono::milliseconds retryDelay { 100 };
    std::chrono::milliseconds maxRetryDelay { 1000 };
    // The same while other balancers are expected to pass changes on. During an outage most balancers then leave the
    // store to a few.
    std::chrono::milliseconds relayedRetryDelay { 800 };
    std::chrono::milliseconds maxRelayedRetryDelay { 4000 };
    std::uint64_t seed = 0;
};

// Keeps a replica of one kind of entry up to date: lists all entries, then watches for changes, and lists again after
// each failed watch, and after an answer of a higher era than the data: the restored store assigns revisions again, so
// a watch from an earlier one misses changes. A list whose page request was rejected resumes at that page, because many
// balancers that start at the same time request more pages per second than the store serves; for the same reason lists
// are stale reads, which the store does not limit.
class StoreFeed {
public:
    StoreFeed(const StoreFeedOptions&, boost::asio::io_context&, StoreReader&, StoreFeedObserver&, const Clock&);

    // Runs until the io_context ends.
    boost::asio::awaitable<void> run();

private:
    // State of a paginated list in progress.
    struct Listing {
        std::vector<StoreEntry> entries;
        // Version of the oldest page, so that a watch from this version misses no change. All pages are of one era.
        StoreVersion version;
        // The next page starts after this name.
        std::string after;
        // All pages have been read.
        bool complete = false;
        // When the first page was requested; nullopt before that.
        std::optional<MonotonicTime> startedAt;
    };

    // Waits while other balancers pass the changes on.
    boost::asio::awaitable<void> waitUntilNeeded();
    void resumeAfterPause();
    boost::asio::awaitable<bool> fetchSnapshot();
    boost::asio::awaitable<bool> fetchPages(ReadFreshness);
    // Whether an answer is of a lower era than one that is known; if so, records the call as failed.
    bool isOutdated(StoreVersion answer);
    // Discards the data and the list in progress because an answer was of a higher era.
    void restart(StoreEra);
    // Reads the changes since a stale list without waiting for new ones.
    boost::asio::awaitable<bool> fetchChangesSinceList();
    std::chrono::milliseconds longestWait() const;
    void deliverListing(ReadFreshness);
    void applyChanges(const StoreChanges&, std::optional<MonotonicTime> currentAt);
    boost::asio::awaitable<bool> fetchChanges();
    boost::asio::awaitable<bool> watch(std::chrono::milliseconds wait, ReadFreshness);
    // Delay after a watch that returned changes.
    std::chrono::milliseconds pauseAfterChanges() const;
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    // Time for which the response to a watch that is not stale is current.
    MonotonicTime currentTimeOf(const StoreChanges&, MonotonicTime start, std::chrono::milliseconds wait) const;
    void handleSuccess(const StoreAnswer&);
    void handleFailure(const Error&);
    std::chrono::milliseconds nextRetryDelay();

    StoreFeedOptions m_options;
    boost::asio::steady_timer m_timer;
    StoreReader& m_reader;
    StoreFeedObserver& m_observer;
    const Clock& m_clock;
    RetryBackoff m_backoff;
    StoreVersion m_version;
    Listing m_listing;
    // The store has discarded the changes since the last stale list, so the next list must be current.
    bool m_listCurrent = false;
    bool m_hasSnapshot = false;
    bool m_reachable = false;
};

} // namespace anvilwalk
