#pragma once

#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace anvilwalk {

struct HttpReply {
    // HTTP status code.
    unsigned status = 200;
    std::string body {};
    std::string_view contentType = "text/plain; version=0.0.4";
};

struct EdgeHttpServerOptions {
    Ipv4Endpoint address;
    // A connection is closed after this long without a request.
    std::chrono::seconds idleTimeout { 30 };
};

// HTTP server for GET requests of health probes, monitoring and peers.
class EdgeHttpServer {
public:
    // Returns the reply for a path; nullopt answers 404.
    using Handler = std::function<std::optional<HttpReply>(std::string_view path)>;

    EdgeHttpServer(const EdgeHttpServerOptions&, boost::asio::io_context&, Handler);

    Status open();
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);

    EdgeHttpServerOptions m_options;
    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

} // namespace anvilwalk
