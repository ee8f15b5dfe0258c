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
    , m_retryPause(options.retryPause)
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
            ok = co_await takeChanges();
        else
            ok = co_await takeSnapshot();
        if (!ok)
            co_await pause(nextRetryPause());
    }
}

asio::awaitable<bool> StoreFeed::takeSnapshot()
{
    bool more = true;
    while (more) {
        const std::string after = m_listing.after;
        auto result = co_await m_reader.list(after);
        if (!isOk(result)) {
            noteFailure(errorOf(result));
            co_return false;
        }
        m_retryPause = m_options.retryPause;
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
    noteSuccess(listing.version, ReadFreshness::Current);
    m_version = std::max(m_version, listing.version);
    m_hasSnapshot = true;
    m_observer.onSnapshot(listing.entries, listing.version);
    co_return true;
}

asio::awaitable<bool> StoreFeed::takeChanges()
{
    const bool expectant = m_observer.expectsChanges();
    const auto wait = expectant ? std::min(m_options.watchWait, m_options.expectantWait) : m_options.watchWait;
    const auto freshness = m_options.staleWatches && !expectant ? ReadFreshness::MayBeStale : ReadFreshness::Current;
    auto result = co_await m_reader.watch(m_version, wait, freshness);
    if (!isOk(result)) {
        // The store may have committed changes that this watch did not report, and discarded their history since; only
        // a new list is certain to include them.
        m_hasSnapshot = false;
        noteFailure(errorOf(result));
        co_return false;
    }
    const StoreChanges& changes = valueOf(result);
    noteSuccess(changes.version, freshness);
    m_version = std::max(m_version, changes.version);
    if (changes.entries.empty())
        co_return true;
    m_observer.onChanges(changes.entries, changes.version);
    co_await pause(m_options.changePause);
    co_return true;
}

asio::awaitable<void> StoreFeed::pause(std::chrono::milliseconds time)
{
    m_timer.expires_after(time);
    boost::system::error_code cancelled;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

void StoreFeed::noteSuccess(StoreVersion version, ReadFreshness freshness)
{
    m_retryPause = m_options.retryPause;
    m_observer.onAnswer(version, freshness);
    if (!std::exchange(m_inContact, true))
        m_observer.onContact();
}

void StoreFeed::noteFailure(const Error& error)
{
    m_inContact = false;
    m_observer.onFailure(error);
}

std::chrono::milliseconds StoreFeed::nextRetryPause()
{
    const auto longest = static_cast<int>(m_retryPause.count());
    m_retryPause = std::min(m_retryPause * 2, m_options.maxRetryPause);
    // Jitter keeps balancers that failed at the same time from retrying at the same time.
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(longest / 2, longest)(m_random));
}

} // namespace anvilwalk
