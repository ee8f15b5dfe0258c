#pragma once

#include <anvilwalk/discovery/PeerViewFeed.h>
#include <anvilwalk/units.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace anvilwalk {

// The path at which a balancer tells its view to one that knows the given versions.
std::string viewPath(const KnownVersions&);
// The versions that are named in such a path; nothing if it is another path.
std::optional<KnownVersions> parseViewPath(std::string_view path);

struct HttpPeerReaderOptions {
    // Time for connecting to a peer. One that is down does not answer; the next may.
    std::chrono::milliseconds connectTimeout { 300 };
    std::chrono::milliseconds answerTimeout { 1000 };
    // Largest view that is accepted, in bytes.
    std::size_t maxViewBytes = 8 << 20;
};

// Reads the views of peers over HTTP, one connection a call.
class HttpPeerReader final : public PeerReader {
public:
    HttpPeerReader(const HttpPeerReaderOptions&, boost::asio::io_context&);

    boost::asio::awaitable<Result<std::optional<ViewSnapshot>>> read(
        const Ipv4Endpoint& peer, const KnownVersions&) override;

private:
    HttpPeerReaderOptions m_options;
    boost::asio::io_context& m_context;
};

} // namespace anvilwalk
