#pragma once

#include <anvilwalk/units.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio.hpp>

namespace anvilwalk {

// Answer to one request.
struct HttpAnswer {
    unsigned status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

// Serves GET requests on one port. Connections are limited in number, size and time, so that a client that
// stalls or sends garbage takes nothing from the others.
class HttpEndpoint {
public:
    // Gets the path of a request. Called on the threads of the io_context.
    using Handler = std::function<HttpAnswer(const std::string& path)>;

    HttpEndpoint(boost::asio::io_context&, Handler);
    ~HttpEndpoint();
    HttpEndpoint(const HttpEndpoint&) = delete;
    HttpEndpoint& operator=(const HttpEndpoint&) = delete;

    // Listens; port 0 takes a free one.
    Status listen(const Ipv4Endpoint&);
    std::uint16_t port() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk
