#include <anvilwalk/discovery/PeerViewFeed.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace anvilwalk {

namespace asio = boost::asio;

PeerViewFeed::PeerViewFeed(const PeerViewFeedOptions& options, asio::io_context& context, PeerList peers,
    PeerReader& reader, PeerViewObserver& observer)
    : m_options(options)
    , m_timer(context)
    , m_peers(std::move(peers))
    , m_reader(reader)
    , m_observer(observer)
    , m_random(options.seed)
{
}

asio::awaitable<void> PeerViewFeed::run()
{
    co_await sleepFor(m_options.startDelay);
    for (;;) {
        if (m_observer.needsPeerView())
            co_await queryPeers();
        co_await sleepFor(hasView() ? m_options.refreshInterval : m_options.initialInterval);
    }
}

asio::awaitable<void> PeerViewFeed::queryPeers()
{
    std::vector<Ipv4Endpoint> peers = m_peers();
    std::erase(peers, m_options.self);
    std::shuffle(peers.begin(), peers.end(), m_random);
    for (const Ipv4Endpoint& peer : peers) {
        const KnownVersions known = m_observer.knownVersions();
        const auto view = co_await m_reader.read(peer, known);
        // The store may have responded in the meantime; its data is newer than the peer's.
        if (!m_observer.needsPeerView())
            co_return;
        if (!isOk(view)) {
            m_observer.onPeerFailure(peer, errorOf(view));
            continue;
        }
        if (valueOf(view))
            m_observer.onPeerView(*valueOf(view), peer);
    }
}

bool PeerViewFeed::hasView() const
{
    const KnownVersions known = m_observer.knownVersions();
    return known.targets != StoreVersion() && known.config != ConfigVersion();
}

asio::awaitable<void> PeerViewFeed::sleepFor(std::chrono::milliseconds time)
{
    m_timer.expires_after(time);
    boost::system::error_code cancelled;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

} // namespace anvilwalk
