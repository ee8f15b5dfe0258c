#include "TargetPoller.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace anvilwalk {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using asio::ip::tcp;

    constexpr std::uint32_t maxHeaderBytes = 8'192;
    constexpr std::uint64_t maxBodyBytes = 65'536;

    struct HealthUrl {
        Ipv4Endpoint endpoint;
        std::string host;
        std::string path;
    };

    std::optional<HealthUrl> parseHealthUrl(const std::string& url)
    {
        const std::string scheme = "http://";
        if (!url.starts_with(scheme))
            return std::nullopt;
        const std::size_t slash = url.find('/', scheme.size());
        const std::string host = url.substr(scheme.size(), slash - scheme.size());
        const auto endpoint = Ipv4Endpoint::parse(host);
        if (!endpoint)
            return std::nullopt;
        return HealthUrl { .endpoint = *endpoint,
            .host = host,
            .path = slash == std::string::npos ? std::string("/") : url.substr(slash) };
    }

} // namespace

// Asks one target. At most one request is pending.
class TargetPoller::Probe final : public std::enable_shared_from_this<TargetPoller::Probe> {
public:
    Probe(asio::io_context& context, const PolledTarget& target, std::chrono::milliseconds timeout,
        const ReportHandler& handler)
        : m_stream(context)
        , m_target(target)
        , m_url(parseHealthUrl(target.healthUrl))
        , m_timeout(timeout)
        , m_handler(handler)
    {
    }

    const std::string& healthUrl() const { return m_target.healthUrl; }

    void ask()
    {
        if (m_busy)
            return;
        if (!m_url) {
            m_handler({ .target = m_target.target });
            return;
        }
        m_busy = true;
        m_stream.expires_after(m_timeout);
        if (m_connected) {
            m_mayRetry = true;
            request();
        } else {
            connect();
        }
    }

    // Reports nothing any more.
    void cancel()
    {
        m_handler = [](const TargetReport&) {};
        m_stream.cancel();
    }

private:
    void connect()
    {
        m_mayRetry = false;
        const tcp::endpoint remote(asio::ip::make_address_v4(m_url->endpoint.address.value), m_url->endpoint.port);
        m_stream.async_connect(remote, [self = shared_from_this()](const beast::error_code& error) {
            self->m_connected = !error;
            if (error)
                self->fail(error);
            else
                self->request();
        });
    }

    void request()
    {
        m_request = { http::verb::get, m_url->path, 11 };
        m_request.set(http::field::host, m_url->host);
        http::async_write(
            m_stream, m_request, [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                if (error)
                    self->fail(error);
                else
                    self->read();
            });
    }

    void read()
    {
        m_buffer.clear();
        m_parser.emplace();
        m_parser->header_limit(maxHeaderBytes);
        m_parser->body_limit(maxBodyBytes);
        http::async_read(
            m_stream, m_buffer, *m_parser, [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                if (error)
                    self->fail(error);
                else
                    self->succeed();
            });
    }

    void succeed()
    {
        const auto& response = m_parser->get();
        m_busy = false;
        if (!response.keep_alive())
            close();
        m_handler(decodeTargetReport(m_target.target, response.result_int(), response.body()));
    }

    void fail(const beast::error_code& error)
    {
        close();
        // The target may have closed the kept connection just before the request.
        if (m_mayRetry && error != beast::error::timeout) {
            connect();
            return;
        }
        m_busy = false;
        m_handler({ .target = m_target.target });
    }

    void close()
    {
        m_connected = false;
        beast::error_code error;
        m_stream.socket().close(error);
    }

    beast::tcp_stream m_stream;
    PolledTarget m_target;
    std::optional<HealthUrl> m_url;
    std::chrono::milliseconds m_timeout;
    ReportHandler m_handler;
    beast::flat_buffer m_buffer { maxHeaderBytes + maxBodyBytes };
    http::request<http::empty_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    bool m_busy = false;
    bool m_connected = false;
    bool m_mayRetry = false;
};

TargetPoller::TargetPoller(
    asio::io_context& context, const TargetPollerOptions& options, TargetSource targets, ReportHandler handler)
    : m_context(context)
    , m_options(options)
    , m_targets(std::move(targets))
    , m_handler(std::move(handler))
    , m_timer(context)
{
}

TargetPoller::~TargetPoller()
{
    for (const auto& [id, probe] : m_probes)
        probe->cancel();
}

void TargetPoller::start() { poll(); }

void TargetPoller::poll()
{
    std::map<TargetId, std::shared_ptr<Probe>> probes;
    for (const PolledTarget& target : m_targets()) {
        const auto found = m_probes.find(target.target);
        if (found != m_probes.end() && found->second->healthUrl() == target.healthUrl)
            probes.insert(m_probes.extract(found));
        else
            probes.emplace(target.target, std::make_shared<Probe>(m_context, target, m_options.timeout, m_handler));
    }
    for (const auto& [id, probe] : m_probes)
        probe->cancel();
    m_probes = std::move(probes);
    for (const auto& [id, probe] : m_probes)
        probe->ask();
    m_timer.expires_after(m_options.interval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            poll();
    });
}

} // namespace anvilwalk
