#include <anvilwalk/discovery/RelayFeed.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace anvilwalk {

namespace asio = boost::asio;

RelayFeed::RelayFeed(asio::io_context& context, PeerReader& reader, PeerViewObserver& observer, const Clock& clock)
    : m_wakeup(context)
    , m_reader(reader)
    , m_observer(observer)
    , m_clock(clock)
{
}

void RelayFeed::handleStatus(const Member& relay, const ViewStatus& status)
{
    const MonotonicTime now = m_clock.now();
    if (!hasNews(status)) {
        m_observer.onRelayConfirmation(status, now);
        return;
    }
    m_announced = { .relay = relay, .status = status, .receivedAt = now };
    m_wakeup.cancel();
}

bool RelayFeed::hasNews(const ViewStatus& status) const
{
    const KnownVersions known = m_observer.knownVersions();
    return status.lastTargetChange > known.targets || status.config > known.config;
}

asio::awaitable<void> RelayFeed::run()
{
    for (;;) {
        if (m_announced) {
            co_await fetch(*std::exchange(m_announced, std::nullopt));
            continue;
        }
        m_wakeup.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code cancelled;
        co_await m_wakeup.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<void> RelayFeed::fetch(Announcement announcement)
{
    // Another relay may have announced the same changes.
    if (hasNews(announcement.status)) {
        m_fetching = true;
        ++m_fetches;
        const auto view = co_await m_reader.read(announcement.relay.viewAddress, m_observer.knownVersions());
        m_fetching = false;
        if (!isOk(view)) {
            // The next heartbeat of any relay announces the changes again.
            m_observer.onPeerFailure(announcement.relay.viewAddress, errorOf(view));
            co_return;
        }
        if (valueOf(view))
            m_observer.onPeerView(*valueOf(view), announcement.relay.viewAddress);
    }
    if (!hasNews(announcement.status))
        m_observer.onRelayConfirmation(announcement.status, announcement.receivedAt);
}

} // namespace anvilwalk
