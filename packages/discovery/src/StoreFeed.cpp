#include <anvilwalk/discovery/StoreFeed.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace anvilwalk {

namespace asio = boost::asio;

StoreFeed::StoreFeed(const StoreFeedOptions& options, asio::io_context& context, StoreReader& reader,
    StoreFeedObserver& observer, const Clock& clock)
    : m_options(options)
    , m_timer(context)
    , m_reader(reader)
    , m_observer(observer)
    , m_clock(clock)
    , m_backoff(options.seed)
{
}

namespace {

    // Wait time of a watch that returns the changes that exist already; the shortest that the store accepts.
    constexpr std::chrono::milliseconds immediateWait { 1 };

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
        co_await waitUntilNeeded();
        bool ok = false;
        if (m_hasSnapshot)
            ok = co_await fetchChanges();
        else
            ok = co_await fetchSnapshot();
        if (!ok)
            co_await sleepFor(nextRetryDelay());
    }
}

asio::awaitable<void> StoreFeed::waitUntilNeeded()
{
    const auto start = asio::steady_timer::clock_type::now();
    for (;;) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_observer.untilNeeded());
        if (wait <= std::chrono::milliseconds::zero())
            break;
        co_await sleepFor(wait);
    }
    if (asio::steady_timer::clock_type::now() - start >= m_options.maxPause)
        resumeAfterPause();
}

void StoreFeed::resumeAfterPause()
{
    m_hasSnapshot = false;
    m_listing = {};
    if (m_observer.passedOnVersion() == StoreVersion())
        return;
    m_version = std::max(m_version, m_observer.passedOnVersion());
    m_hasSnapshot = true;
}

asio::awaitable<bool> StoreFeed::fetchSnapshot()
{
    const bool stale = m_options.allowStale && !m_listCurrent;
    if (!co_await fetchPages(stale ? ReadFreshness::MayBeStale : ReadFreshness::Current))
        co_return false;
    if (stale)
        co_return co_await fetchChangesSinceList();
    deliverListing(ReadFreshness::Current);
    co_return true;
}

asio::awaitable<bool> StoreFeed::fetchPages(ReadFreshness freshness)
{
    while (!m_listing.complete) {
        const std::string after = m_listing.after;
        if (!m_listing.startedAt)
            m_listing.startedAt = m_clock.now();
        auto result = co_await m_reader.list(after, freshness);
        if (!isOk(result)) {
            handleFailure(errorOf(result));
            co_return false;
        }
        StorePage& page = valueOf(result);
        if (isOutdated(page.version))
            co_return false;
        m_backoff.reset();
        if (!after.empty() && eraOf(page.version) > eraOf(m_listing.version)) {
            restart(eraOf(page.version));
            continue;
        }
        // The first page has no predecessor.
        m_listing.version = after.empty() ? page.version : std::min(m_listing.version, page.version);
        const std::string last = lastName(page.entries);
        // Stop at a page that does not advance the cursor; otherwise it would be requested forever.
        m_listing.complete = !page.more || last <= after;
        m_listing.after = last;
        std::move(page.entries.begin(), page.entries.end(), std::back_inserter(m_listing.entries));
    }
    co_return true;
}

asio::awaitable<bool> StoreFeed::fetchChangesSinceList()
{
    const MonotonicTime start = m_clock.now();
    const auto result = co_await m_reader.watch(m_listing.version, immediateWait, ReadFreshness::Current);
    if (!isOk(result)) {
        if (errorOf(result).code == ErrorCode::Gone) {
            m_listing = {};
            m_listCurrent = true;
        }
        handleFailure(errorOf(result));
        co_return false;
    }
    if (isOutdated(valueOf(result).version))
        co_return false;
    if (eraOf(valueOf(result).version) > eraOf(m_listing.version)) {
        restart(eraOf(valueOf(result).version));
        co_return true;
    }
    deliverListing(ReadFreshness::MayBeStale);
    applyChanges(valueOf(result), currentTimeOf(valueOf(result), start, immediateWait));
    co_return true;
}

bool StoreFeed::isOutdated(StoreVersion answer)
{
    // The version of an incomplete list counts as well, so that no list continues in a lower era.
    const StoreEra known = std::max({ m_observer.highestEra(), eraOf(m_version), eraOf(m_listing.version) });
    if (eraOf(answer) >= known)
        return false;
    handleFailure({ .code = ErrorCode::Unavailable, .message = "answer of a lower store era than the known one" });
    return true;
}

void StoreFeed::restart(StoreEra era)
{
    m_backoff.reset();
    m_hasSnapshot = false;
    m_listing = {};
    m_observer.onRestored(era);
}

void StoreFeed::deliverListing(ReadFreshness freshness)
{
    const Listing listing = std::exchange(m_listing, {});
    m_listCurrent = false;
    handleSuccess({ .version = listing.version,
        .currentAt = freshness == ReadFreshness::Current ? listing.startedAt : std::nullopt });
    m_version = std::max(m_version, listing.version);
    m_hasSnapshot = true;
    m_observer.onSnapshot(listing.entries, listing.version);
}

asio::awaitable<bool> StoreFeed::fetchChanges()
{
    if (!m_options.allowStale)
        co_return co_await watch(longestWait(), ReadFreshness::Current);
    const auto untilCurrentRead = m_observer.untilCurrentRead();
    if (untilCurrentRead && *untilCurrentRead <= Duration::zero())
        co_return co_await watch(immediateWait, ReadFreshness::Current);
    auto wait = longestWait();
    if (untilCurrentRead)
        wait = std::min(wait, std::chrono::ceil<std::chrono::milliseconds>(*untilCurrentRead));
    co_return co_await watch(wait, ReadFreshness::MayBeStale);
}

std::chrono::milliseconds StoreFeed::longestWait() const
{
    return std::min(m_options.watchWait, m_observer.maxWatchWait());
}

asio::awaitable<bool> StoreFeed::watch(std::chrono::milliseconds wait, ReadFreshness freshness)
{
    const MonotonicTime start = m_clock.now();
    auto result = co_await m_reader.watch(m_version, wait, freshness);
    if (!isOk(result)) {
        // The store may have committed changes that this watch did not report, and discarded their history since; only
        // a new list is certain to include them.
        m_hasSnapshot = false;
        handleFailure(errorOf(result));
        co_return false;
    }
    if (isOutdated(valueOf(result).version)) {
        m_hasSnapshot = false;
        co_return false;
    }
    if (eraOf(valueOf(result).version) > eraOf(m_version)) {
        restart(eraOf(valueOf(result).version));
        co_return true;
    }
    std::optional<MonotonicTime> currentAt;
    if (freshness == ReadFreshness::Current)
        currentAt = currentTimeOf(valueOf(result), start, wait);
    applyChanges(valueOf(result), currentAt);
    if (!valueOf(result).entries.empty())
        co_await sleepFor(pauseAfterChanges());
    co_return true;
}

std::chrono::milliseconds StoreFeed::pauseAfterChanges() const
{
    const auto untilCurrentRead = m_observer.untilCurrentRead();
    if (!untilCurrentRead)
        return m_options.changeDelay;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(*untilCurrentRead);
    return std::clamp(remaining, std::chrono::milliseconds::zero(), m_options.changeDelay);
}

MonotonicTime StoreFeed::currentTimeOf(
    const StoreChanges& changes, MonotonicTime start, std::chrono::milliseconds wait) const
{
    // The store holds a response without changes back until the wait is over. A response with changes may have been on
    // its way for any time since the request.
    const bool waited = changes.entries.empty() && m_clock.now() - start >= wait;
    return waited ? start + wait : start;
}

void StoreFeed::applyChanges(const StoreChanges& changes, std::optional<MonotonicTime> currentAt)
{
    handleSuccess({ .version = changes.version, .currentAt = currentAt });
    m_version = std::max(m_version, changes.version);
    if (!changes.entries.empty())
        m_observer.onChanges(changes.entries, changes.version);
}

asio::awaitable<void> StoreFeed::sleepFor(std::chrono::milliseconds time)
{
    m_timer.expires_after(time);
    boost::system::error_code cancelled;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

void StoreFeed::handleSuccess(const StoreAnswer& answer)
{
    m_backoff.reset();
    m_observer.onResponse(answer);
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
    if (m_observer.hasRelays())
        return m_backoff.next(m_options.relayedRetryDelay, m_options.maxRelayedRetryDelay);
    return m_backoff.next(m_options.retryDelay, m_options.maxRetryDelay);
}

} // namespace anvilwalk
