#include "StoreProxy.h"

#include "Delay.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace anvilwalk::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

    tcp::endpoint toTcp(const Ipv4Endpoint& endpoint)
    {
        return { asio::ip::address_v4(endpoint.address.value), endpoint.port };
    }

} // namespace

// One connection of the balancer and the one to the store that belongs to it.
struct StoreProxy::Link {
    explicit Link(asio::io_context& context)
        : balancer(context)
        , store(context)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        balancer.close(ignored);
        store.close(ignored);
    }

    tcp::socket balancer;
    tcp::socket store;
    bool silent = false;
};

StoreProxy::StoreProxy(asio::io_context& context, const Ipv4Endpoint& listen, const Ipv4Endpoint& store)
    : m_context(context)
    , m_acceptor(context, toTcp(listen))
    , m_store(store)
{
    asio::co_spawn(context, accept(), asio::detached);
}

void StoreProxy::setCut(bool toStore, bool fromStore)
{
    m_cutToStore = toStore;
    m_cutFromStore = fromStore;
}

void StoreProxy::silenceOpen()
{
    for (const auto& weak : m_links) {
        if (const LinkPointer link = weak.lock())
            link->silent = true;
    }
}

void StoreProxy::resetOpen()
{
    for (const auto& weak : m_links) {
        if (const LinkPointer link = weak.lock()) {
            boost::system::error_code ignored;
            // A close without linger sends a reset.
            link->balancer.set_option(asio::socket_base::linger(true, 0), ignored);
            link->close();
        }
    }
}

asio::awaitable<void> StoreProxy::accept()
{
    for (;;) {
        auto link = std::make_shared<Link>(m_context);
        boost::system::error_code error;
        co_await m_acceptor.async_accept(link->balancer, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        std::erase_if(m_links, [](const std::weak_ptr<Link>& known) { return known.expired(); });
        m_links.push_back(link);
        asio::co_spawn(m_context, connect(link), asio::detached);
    }
}

asio::awaitable<void> StoreProxy::connect(LinkPointer link)
{
    boost::system::error_code error;
    co_await link->store.async_connect(toTcp(m_store), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        link->close();
        co_return;
    }
    asio::co_spawn(m_context, relay(link, true), asio::detached);
    asio::co_spawn(m_context, relay(link, false), asio::detached);
}

asio::awaitable<void> StoreProxy::relay(LinkPointer link, bool toStore)
{
    tcp::socket& from = toStore ? link->balancer : link->store;
    tcp::socket& to = toStore ? link->store : link->balancer;
    constexpr std::size_t bufferBytes = 16384;
    std::vector<char> buffer(bufferBytes);
    boost::system::error_code error;
    for (;;) {
        const std::size_t count
            = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        if (link->silent || (toStore ? m_cutToStore : m_cutFromStore))
            continue;
        if (m_delay > std::chrono::milliseconds(0))
            co_await pauseFor(m_context, m_delay);
        co_await asio::async_write(
            to, asio::buffer(buffer.data(), count), asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
    }
    link->close();
}

} // namespace anvilwalk::soak
