#pragma once

#include <anvilwalk/units.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

namespace anvilwalk::standins {

// A request that an HTTP server received, with its query parameters split off.
struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
};

// One request and its answer. The answer may come later than the handler returns.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;
    virtual void respond(unsigned status, const std::string& body) = 0;
    // Closes the connection; the client gets no answer.
    virtual void closeWithoutAnswer() = 0;
    // Starts a chunked answer with status 200.
    virtual void beginStream() = 0;
    virtual void sendChunk(const std::string& data) = 0;
    virtual void endStream() = 0;
    // False once the connection has failed or was closed.
    virtual bool isOpen() const = 0;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

// A small HTTP/1.1 server on loopback. Runs in the thread of its io_context.
class HttpServer {
public:
    using Handler = std::function<void(const HttpExchangePointer&)>;

    // Port 0 picks a free one. Throws if the endpoint cannot be bound.
    HttpServer(boost::asio::io_context&, const Ipv4Endpoint&, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk::standins
