#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

namespace anvilwalk::standins {

// Parts of a URL "http://address:port/path".
struct HttpUrl {
    Ipv4Endpoint endpoint;
    std::string path;

    static std::optional<HttpUrl> parse(const std::string& text);
};

struct HttpResult {
    // 0 if there was no complete answer within the time.
    unsigned status = 0;
    std::string body;
};

// Sends one request over a new connection and calls the handler exactly once.
void httpRequest(boost::asio::io_context&, const std::string& method, const HttpUrl&, const std::string& body,
    std::chrono::milliseconds timeout, std::function<void(const HttpResult&)> handler);

} // namespace anvilwalk::standins
