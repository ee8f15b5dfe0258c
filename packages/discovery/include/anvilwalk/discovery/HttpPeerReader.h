#pragma once

#include <anvilwalk/discovery/HttpGetClient.h>
#include <anvilwalk/discovery/PeerViewFeed.h>
#include <anvilwalk/units.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace anvilwalk {

// Request path of a balancer's view, for a requester that already has the given versions.
std::string viewPath(const KnownVersions&);
// Parses the versions in a path that viewPath built; nullopt for any other path.
std::optional<KnownVersions> parseViewPath(std::string_view path);

struct HttpPeerReaderOptions {
    // Connection timeout. Short, so that a peer that is down delays the attempt with the next peer only a little.
    std::chrono::milliseconds connectTimeout { 300 };
    std::chrono::milliseconds responseTimeout { 1000 };
    // Maximum size of an encoded view, in bytes.
    std::size_t maxViewBytes = 8 << 20;
};

// Fetches the views of peers over persistent HTTP connections.
class HttpPeerReader final : public PeerReader {
public:
    HttpPeerReader(const HttpPeerReaderOptions&, boost::asio::io_context&);

    boost::asio::awaitable<Result<std::optional<ViewSnapshot>>> read(
        const Ipv4Endpoint& peer, const KnownVersions&) override;

private:
    std::shared_ptr<HttpGetClient> clientFor(const Ipv4Endpoint& peer);

    HttpPeerReaderOptions m_options;
    boost::asio::io_context& m_context;
    std::map<Ipv4Endpoint, std::shared_ptr<HttpGetClient>> m_clients;
};

} // namespace anvilwalk
