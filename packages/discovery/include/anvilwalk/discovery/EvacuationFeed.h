#pragma once

#include <anvilwalk/discovery/RetryBackoff.h>
#include <anvilwalk/discovery/StoreFeed.h>
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

// Receives the lists of an EvacuationFeed and decides when it reads.
class EvacuationObserver {
public:
    virtual ~EvacuationObserver() = default;

    // The complete list of entries that request an evacuation.
    virtual void onEvacuations(const std::vector<StoreEntry>&, const StoreAnswer&) = 0;
    virtual void onEvacuationFailure(const Error&) = 0;
    // Whether a stale read may bring news or a confirmation.
    virtual bool needsStaleRead() const = 0;
    // Highest era that is known from any source; lists of lower eras count as failed calls.
    virtual StoreEra highestEra() const { return {}; }
    // Time until the list is too old to wait for a stale read or for a relay.
    virtual Duration untilCurrentRead() const = 0;
};

struct EvacuationFeedOptions {
    // Delay after a stale read that confirmed nothing, because the replica that answered it is behind.
    std::chrono::milliseconds staleRetryDelay { 250 };
    // Delay after the first failed call; doubles with each further failure up to the maximum.
    // Long, because most balancers read only when relays are silent too, that is, while the store is away.
    std::chrono::milliseconds retryDelay { 1000 };
    std::chrono::milliseconds maxRetryDelay { 4000 };
    std::uint64_t seed = 0;
};

// Lists the evacuations whenever the observer needs them. Lists, not watches: there are at most as many entries as data
// centres, and a list shows removals also when the store has discarded its history.
class EvacuationFeed {
public:
    EvacuationFeed(
        const EvacuationFeedOptions&, boost::asio::io_context&, StoreReader&, EvacuationObserver&, const Clock&);

    // Runs until the io_context ends.
    boost::asio::awaitable<void> run();
    // Makes the feed ask the observer again whether a read is needed.
    void wake() { m_timer.cancel(); }

private:
    boost::asio::awaitable<bool> read(ReadFreshness);
    // Returns pages of one era.
    boost::asio::awaitable<Result<StorePage>> readAllPages(ReadFreshness);
    // Ends early on wake().
    boost::asio::awaitable<void> waitUntilWoken(Duration);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);

    EvacuationFeedOptions m_options;
    boost::asio::steady_timer m_timer;
    // Not cancelled by wake(), so that retries keep their delay.
    boost::asio::steady_timer m_retryTimer;
    StoreReader& m_reader;
    EvacuationObserver& m_observer;
    const Clock& m_clock;
    RetryBackoff m_backoff;
};

} // namespace anvilwalk
