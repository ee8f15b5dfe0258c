#include "HttpClient.h"

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace anvilwalk::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr std::uint64_t bodyLimitBytes = 64U << 20U;

    class Call final : public std::enable_shared_from_this<Call> {
    public:
        Call(asio::io_context& context, std::function<void(const HttpResult&)> handler)
            : m_stream(context)
            , m_handler(std::move(handler))
        {
        }

        void start(
            const std::string& method, const HttpUrl& url, const std::string& body, std::chrono::milliseconds timeout)
        {
            m_request.method(http::string_to_verb(method));
            m_request.target(url.path);
            m_request.version(11);
            m_request.set(http::field::host, url.endpoint.toString());
            m_request.keep_alive(false);
            m_request.body() = body;
            m_request.prepare_payload();
            m_parser.body_limit(bodyLimitBytes);
            m_stream.expires_after(timeout);
            const tcp::endpoint peer(asio::ip::address_v4(url.endpoint.address.value), url.endpoint.port);
            m_stream.async_connect(peer, [self = shared_from_this()](error_code error) { self->write(error); });
        }

    private:
        void write(error_code error)
        {
            if (error) {
                m_handler({});
                return;
            }
            http::async_write(m_stream, m_request,
                [self = shared_from_this()](error_code writeError, std::size_t) { self->read(writeError); });
        }

        void read(error_code error)
        {
            if (error) {
                m_handler({});
                return;
            }
            http::async_read(m_stream, m_buffer, m_parser,
                [self = shared_from_this()](error_code readError, std::size_t) { self->finish(readError); });
        }

        void finish(error_code error)
        {
            if (error)
                m_handler({});
            else
                m_handler({ .status = m_parser.get().result_int(), .body = m_parser.get().body() });
        }

        beast::tcp_stream m_stream;
        std::function<void(const HttpResult&)> m_handler;
        http::request<http::string_body> m_request;
        beast::flat_buffer m_buffer;
        http::response_parser<http::string_body> m_parser;
    };

} // namespace

std::optional<HttpUrl> HttpUrl::parse(const std::string& text)
{
    const std::string scheme = "http://";
    if (!text.starts_with(scheme))
        return std::nullopt;
    const auto slash = std::min(text.find('/', scheme.size()), text.size());
    const auto endpoint = Ipv4Endpoint::parse(text.substr(scheme.size(), slash - scheme.size()));
    if (!endpoint)
        return std::nullopt;
    return HttpUrl { .endpoint = *endpoint, .path = slash < text.size() ? text.substr(slash) : "/" };
}

void httpRequest(asio::io_context& context, const std::string& method, const HttpUrl& url, const std::string& body,
    std::chrono::milliseconds timeout, std::function<void(const HttpResult&)> handler)
{
    std::make_shared<Call>(context, std::move(handler))->start(method, url, body, timeout);
}

} // namespace anvilwalk::standins
