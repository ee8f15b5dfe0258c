#include <anvilwalk/discovery/EvacuationFeed.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <utility>

namespace anvilwalk {

namespace asio = boost::asio;

EvacuationFeed::EvacuationFeed(const EvacuationFeedOptions& options, asio::io_context& context, StoreReader& reader,
    EvacuationObserver& observer, const Clock& clock)
    : m_options(options)
    , m_timer(context)
    , m_retryTimer(context)
    , m_reader(reader)
    , m_observer(observer)
    , m_clock(clock)
    , m_backoff(options.seed)
{
}

asio::awaitable<void> EvacuationFeed::run()
{
    for (;;) {
        const Duration untilCurrentRead = m_observer.untilCurrentRead();
        const bool currentReadDue = untilCurrentRead <= Duration::zero();
        if (!currentReadDue && !m_observer.needsStaleRead()) {
            co_await waitUntilWoken(untilCurrentRead);
            continue;
        }
        if (!co_await read(currentReadDue ? ReadFreshness::Current : ReadFreshness::MayBeStale))
            co_await sleepFor(m_backoff.next(m_options.retryDelay, m_options.maxRetryDelay));
        else if (m_observer.needsStaleRead() || m_observer.untilCurrentRead() <= Duration::zero())
            co_await sleepFor(m_options.staleRetryDelay);
    }
}

asio::awaitable<bool> EvacuationFeed::read(ReadFreshness freshness)
{
    const MonotonicTime start = m_clock.now();
    const Result<StorePage> list = co_await readAllPages(freshness);
    if (!isOk(list)) {
        m_observer.onEvacuationFailure(errorOf(list));
        co_return false;
    }
    if (eraOf(valueOf(list).version) < m_observer.highestEra()) {
        m_observer.onEvacuationFailure(
            { .code = ErrorCode::Unavailable, .message = "answer of a lower store era than the known one" });
        co_return false;
    }
    m_backoff.reset();
    StoreAnswer answer { .version = valueOf(list).version, .currentAt = std::nullopt };
    if (freshness == ReadFreshness::Current)
        answer.currentAt = start;
    m_observer.onEvacuations(valueOf(list).entries, answer);
    co_return true;
}

asio::awaitable<Result<StorePage>> EvacuationFeed::readAllPages(ReadFreshness freshness)
{
    StorePage list;
    std::string after;
    for (;;) {
        Result<StorePage> result = co_await m_reader.list(after, freshness);
        if (!isOk(result))
            co_return errorOf(result);
        StorePage& page = valueOf(result);
        if (!after.empty() && eraOf(page.version) != eraOf(list.version))
            co_return Error { .code = ErrorCode::Unavailable, .message = "the store was restored during a list" };
        // The list is as old as its oldest page.
        list.version = after.empty() ? page.version : std::min(list.version, page.version);
        const std::string last = page.entries.empty() ? std::string() : page.entries.back().name;
        std::move(page.entries.begin(), page.entries.end(), std::back_inserter(list.entries));
        // Stop at a page that does not advance the cursor; otherwise it would be requested forever.
        if (!page.more || last <= after)
            co_return list;
        after = last;
    }
}

asio::awaitable<void> EvacuationFeed::waitUntilWoken(Duration time)
{
    m_timer.expires_after(std::chrono::ceil<std::chrono::milliseconds>(time));
    boost::system::error_code cancelled;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

asio::awaitable<void> EvacuationFeed::sleepFor(std::chrono::milliseconds time)
{
    m_retryTimer.expires_after(time);
    co_await m_retryTimer.async_wait(asio::use_awaitable);
}

} // namespace anvilwalk
