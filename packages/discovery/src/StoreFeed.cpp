#include <anvilwalk/discovery/StoreFeed.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>

namespace anvilwalk {

namespace asio = boost::asio;

StoreFeed::StoreFeed(
    const StoreFeedOptions& options, asio::io_context& context, StoreReader& reader, StoreFeedObserver& observer)
    : m_options(options)
    , m_timer(context)
    , m_reader(reader)
    , m_observer(observer)
    , m_random(options.seed)
    , m_retryDelay(options.retryDelay)
{
}

namespace {

    // The last non-empty name; empty if there is none.
    std::string lastName(const std::vector<StoreEntry>& entries)
    {
        for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
            if (!entry->name.empty())
                return entry->name;
        }
        return {};
    }

} // namespace

asio::awaitable<void> StoreFeed::run()
{
    for (;;) {
        bool ok = false;
        if (m_hasSnapshot)
            ok = co_await fetchChanges();
        else
            ok = co_await fetchSnapshot();
        if (!ok)
            co_await sleepFor(nextRetryDelay());
    }
}

asio::awaitable<bool> StoreFeed::fetchSnapshot()
{
    bool more = true;
    while (more) {
        const std::string after = m_listing.after;
        auto result = co_await m_reader.list(after);
        if (!isOk(result)) {
            handleFailure(errorOf(result));
            co_return false;
        }
        m_retryDelay = m_options.retryDelay;
        StorePage& page = valueOf(result);
        if (m_listing.version == StoreVersion())
            m_listing.version = page.version;
        const std::string last = lastName(page.entries);
        // Stop at a page that does not advance the cursor; otherwise it would be requested forever.
        more = page.more && last > after;
        m_listing.after = last;
        std::move(page.entries.begin(), page.entries.end(), std::back_inserter(m_listing.entries));
    }
    const Listing listing = std::exchange(m_listing, {});
    handleSuccess(listing.version, ReadFreshness::Current);
    m_version = std::max(m_version, listing.version);
    m_hasSnapshot = true;
    m_observer.onSnapshot(listing.entries, listing.version);
    co_return true;
}

asio::awaitable<bool> StoreFeed::fetchChanges()
{
    const bool changesExpected = m_observer.expectsChanges();
    const auto wait = changesExpected ? std::min(m_options.watchWait, m_options.shortWatchWait) : m_options.watchWait;
    const auto freshness
        = m_options.allowStale && !changesExpected ? ReadFreshness::MayBeStale : ReadFreshness::Current;
    auto result = co_await m_reader.watch(m_version, wait, freshness);
    if (!isOk(result)) {
        // The store may have committed changes that this watch did not report, and discarded their history since; only
        // a new list is certain to include them.
        m_hasSnapshot = false;
        handleFailure(errorOf(result));
        co_return false;
    }
    const StoreChanges& changes = valueOf(result);
    handleSuccess(changes.version, freshness);
    m_version = std::max(m_version, changes.version);
    if (changes.entries.empty())
        co_return true;
    m_observer.onChanges(changes.entries, changes.version);
    co_await sleepFor(m_options.changeDelay);
    co_return true;
}

asio::awaitable<void> StoreFeed::sleepFor(std::chrono::milliseconds time)
{
    m_timer.expires_after(time);
    boost::system::error_code cancelled;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

void StoreFeed::handleSuccess(StoreVersion version, ReadFreshness freshness)
{
    m_retryDelay = m_options.retryDelay;
    m_observer.onResponse(version, freshness);
    if (!std::exchange(m_reachable, true))
        m_observer.onReachable();
}

void StoreFeed::handleFailure(const Error& error)
{
    m_reachable = false;
    m_observer.onFailure(error);
}

std::chrono::milliseconds StoreFeed::nextRetryDelay()
{
    const auto maxDelay = static_cast<int>(m_retryDelay.count());
    m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
    // Jitter keeps balancers that failed at the same time from retrying at the same time.
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(maxDelay / 2, maxDelay)(m_random));
}

} // namespace anvilwalk
