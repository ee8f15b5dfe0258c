#pragma once

#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilwalk {

struct HttpGetClientOptions {
    Ipv4Endpoint server;
    // Timeout for establishing the TCP connection.
    std::chrono::milliseconds connectTimeout { 1500 };
    // Whether a request that fails on a connection that was idle before is sent once more over a new one. Not for
    // watches: their failure tells that changes may have been missed.
    bool retryOnIdleConnection = false;
    // Maximum size of a response body, in bytes.
    std::size_t maxBodyBytes = 8 << 20;
};

struct HttpResponse {
    // HTTP status code.
    unsigned status = 0;
    std::string body;
    // Names and values in the order of the response.
    std::vector<std::pair<std::string, std::string>> headers {};

    // Returns the first header with this name, whatever its case; nullopt if there is none.
    std::optional<std::string_view> header(std::string_view name) const;
};

// HTTP/1.1 GET client. Sends requests over a persistent connection, which is opened on demand and closed after a failed
// request. Requests that overlap use connections of their own.
class HttpGetClient {
public:
    HttpGetClient(const HttpGetClientOptions&, boost::asio::io_context&);
    ~HttpGetClient();
    HttpGetClient(const HttpGetClient&) = delete;
    HttpGetClient& operator=(const HttpGetClient&) = delete;

    // Returns the response whatever its status code. Unavailable: no complete response arrived within the timeout.
    boost::asio::awaitable<Result<HttpResponse>> get(std::string target, std::chrono::milliseconds timeout);

private:
    class Connection;

    HttpGetClientOptions m_options;
    boost::asio::io_context& m_context;
    std::unique_ptr<Connection> m_connection;
};

} // namespace anvilwalk
