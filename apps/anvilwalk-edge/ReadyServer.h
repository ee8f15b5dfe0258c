#pragma once

#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>

namespace anvilwalk {

struct ReadyServerOptions {
    Ipv4Endpoint address;
    // Path that tells whether this balancer takes packets.
    std::string path;
    // A connection without a request for this long is closed.
    std::chrono::seconds idleTimeout { 30 };
};

// Answers the fabric's question whether this balancer takes packets.
class ReadyServer {
public:
    ReadyServer(const ReadyServerOptions&, boost::asio::io_context&, std::function<bool()> isReady);

    Status open();
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);

    ReadyServerOptions m_options;
    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::function<bool()> m_isReady;
};

} // namespace anvilwalk
