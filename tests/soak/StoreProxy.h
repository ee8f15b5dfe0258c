#pragma once

#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <vector>

namespace anvilwalk::soak {

// Carries the TCP connections of one balancer to the store, and harms them.
class StoreProxy {
public:
    // Throws if the endpoint cannot be bound.
    StoreProxy(boost::asio::io_context&, const Ipv4Endpoint& listen, const Ipv4Endpoint& store);

    // Bytes of new and open connections take this much longer.
    void setDelay(std::chrono::milliseconds delay) { m_delay = delay; }
    // Bytes to the store, or from it, are lost; connections stay open.
    void setCut(bool toStore, bool fromStore);
    // Open connections go silent for good; new ones work.
    void silenceOpen();
    void resetOpen();

private:
    struct Link;
    using LinkPointer = std::shared_ptr<Link>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(LinkPointer);
    boost::asio::awaitable<void> relay(LinkPointer, bool toStore);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Ipv4Endpoint m_store;
    std::chrono::milliseconds m_delay { 0 };
    bool m_cutToStore = false;
    bool m_cutFromStore = false;
    std::vector<std::weak_ptr<Link>> m_links;
};

} // namespace anvilwalk::soak
