#pragma once

#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace anvilwalk {

struct HttpGetClientOptions {
    Ipv4Endpoint server;
    // Time for opening the connection.
    std::chrono::milliseconds connectTimeout { 1500 };
    // Largest body that is accepted, in bytes.
    std::size_t maxBodyBytes = 8 << 20;
};

struct HttpAnswer {
    // HTTP status code.
    unsigned status = 0;
    std::string body;
};

// Makes HTTP/1.1 GET calls, one after the other, over one connection that is opened when needed and closed after a
// failed call.
class HttpGetClient {
public:
    HttpGetClient(const HttpGetClientOptions&, boost::asio::io_context&);
    ~HttpGetClient();
    HttpGetClient(const HttpGetClient&) = delete;
    HttpGetClient& operator=(const HttpGetClient&) = delete;

    // An answer of any status. Unavailable: no whole answer came within the timeout.
    boost::asio::awaitable<Result<HttpAnswer>> get(std::string target, std::chrono::milliseconds timeout);

private:
    class Connection;

    HttpGetClientOptions m_options;
    boost::asio::io_context& m_context;
    std::unique_ptr<Connection> m_connection;
};

} // namespace anvilwalk
