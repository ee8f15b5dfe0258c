#include <anvilwalk/discovery/HttpPeerReader.h>

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace anvilwalk {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view viewPrefix = "/v1/view/";

    // More peers than a balancer usually reads from: the relays of its data centre and the seeds.
    constexpr std::size_t maxClients = 8;

    constexpr unsigned httpOk = 200;
    constexpr unsigned httpNotModified = 304;

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const char* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, number);
        if (text.empty() || error != std::errc() || stop != end)
            return std::nullopt;
        return number;
    }

    // Removes the text up to the next slash from a path and returns it as a number.
    std::optional<std::uint64_t> takeNumber(std::string_view& path)
    {
        const std::size_t slash = std::min(path.find('/'), path.size());
        const std::string_view text = path.substr(0, slash);
        path.remove_prefix(std::min(slash + 1, path.size()));
        return parseNumber(text);
    }

} // namespace

std::string viewPath(const KnownVersions& known)
{
    return fmt::format(
        "{}{}/{}/{}", viewPrefix, known.targets.value(), known.config.value(), known.evacuations.value());
}

std::optional<KnownVersions> parseViewPath(std::string_view path)
{
    if (!path.starts_with(viewPrefix))
        return std::nullopt;
    path.remove_prefix(viewPrefix.size());
    const auto targets = takeNumber(path);
    const auto config = takeNumber(path);
    const auto evacuations = takeNumber(path);
    if (!targets || !config || !evacuations || !path.empty())
        return std::nullopt;
    return KnownVersions {
        .targets = StoreVersion(*targets), .config = ConfigVersion(*config), .evacuations = StoreVersion(*evacuations)
    };
}

HttpPeerReader::HttpPeerReader(const HttpPeerReaderOptions& options, asio::io_context& context)
    : m_options(options)
    , m_context(context)
{
}

std::shared_ptr<HttpGetClient> HttpPeerReader::clientFor(const Ipv4Endpoint& peer)
{
    if (m_clients.size() >= maxClients && !m_clients.contains(peer))
        m_clients.clear();
    std::shared_ptr<HttpGetClient>& client = m_clients[peer];
    if (!client) {
        const HttpGetClientOptions options { .server = peer,
            .connectTimeout = m_options.connectTimeout,
            .retryOnIdleConnection = true,
            .maxBodyBytes = m_options.maxViewBytes };
        client = std::make_shared<HttpGetClient>(options, m_context);
    }
    return client;
}

asio::awaitable<Result<std::optional<ViewSnapshot>>> HttpPeerReader::read(
    const Ipv4Endpoint& peer, const KnownVersions& known)
{
    // Kept alive by this coroutine, because another call may replace the clients meanwhile.
    const std::shared_ptr<HttpGetClient> client = clientFor(peer);
    const Result<HttpResponse> response = co_await client->get(viewPath(known), m_options.responseTimeout);
    if (!isOk(response))
        co_return errorOf(response);
    if (valueOf(response).status == httpNotModified)
        co_return std::nullopt;
    if (valueOf(response).status != httpOk)
        co_return Error { .code = ErrorCode::Unavailable,
            .message = fmt::format("peer has no view available (HTTP status {})", valueOf(response).status) };
    Result<ViewSnapshot> view = decodeView(valueOf(response).body);
    if (!isOk(view))
        co_return errorOf(view);
    co_return std::move(valueOf(view));
}

} // namespace anvilwalk
