#include "HttpEndpoint.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace anvilwalk {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using asio::ip::tcp;

    constexpr std::chrono::seconds requestTimeout { 5 };
    constexpr std::size_t maxConnections = 64;
    constexpr std::uint32_t maxHeaderBytes = 8'192;
    constexpr std::uint64_t maxBodyBytes = 1'024;

    // One connection; it lives as long as an operation on it is pending.
    class HttpConnection final : public std::enable_shared_from_this<HttpConnection> {
    public:
        HttpConnection(
            tcp::socket socket, HttpEndpoint::Handler handler, std::shared_ptr<std::atomic<std::size_t>> count)
            : m_stream(std::move(socket))
            , m_handler(std::move(handler))
            , m_count(std::move(count))
        {
            ++*m_count;
        }
        ~HttpConnection() { --*m_count; }
        HttpConnection(const HttpConnection&) = delete;
        HttpConnection& operator=(const HttpConnection&) = delete;

        void read()
        {
            m_parser.emplace();
            m_parser->header_limit(maxHeaderBytes);
            m_parser->body_limit(maxBodyBytes);
            m_stream.expires_after(requestTimeout);
            http::async_read(m_stream, m_buffer, *m_parser,
                [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                    if (!error)
                        self->answer();
                });
        }

    private:
        void answer()
        {
            const auto& request = m_parser->get();
            HttpAnswer answer;
            if (request.method() != http::verb::get)
                answer = { .status = 405, .body = "Only GET is served.\n" };
            else
                answer = m_handler(std::string(request.target()));
            m_response = {};
            m_response.version(request.version());
            m_response.result(answer.status);
            m_response.set(http::field::content_type, answer.contentType);
            m_response.keep_alive(request.keep_alive());
            m_response.body() = std::move(answer.body);
            m_response.prepare_payload();
            http::async_write(
                m_stream, m_response, [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                    if (!error && self->m_response.keep_alive())
                        self->read();
                });
        }

        beast::tcp_stream m_stream;
        HttpEndpoint::Handler m_handler;
        std::shared_ptr<std::atomic<std::size_t>> m_count;
        beast::flat_buffer m_buffer { maxHeaderBytes + maxBodyBytes };
        std::optional<http::request_parser<http::string_body>> m_parser;
        http::response<http::string_body> m_response;
    };

} // namespace

class HttpEndpoint::Implementation final : public std::enable_shared_from_this<HttpEndpoint::Implementation> {
public:
    Implementation(asio::io_context& context, Handler handler)
        : m_acceptor(context)
        , m_retry(context)
        , m_handler(std::move(handler))
    {
    }

    Status listen(const Ipv4Endpoint& endpoint)
    {
        beast::error_code error;
        const tcp::endpoint local(asio::ip::make_address_v4(endpoint.address.value), endpoint.port);
        m_acceptor.open(tcp::v4(), error);
        if (!error)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(local, error);
        if (!error)
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return Error { ErrorCode::Unavailable, "Cannot listen on " + endpoint.toString() + ": " + error.message() };
        accept();
        return std::monostate {};
    }

    std::uint16_t port() const
    {
        beast::error_code error;
        return m_acceptor.local_endpoint(error).port();
    }

    void close()
    {
        beast::error_code error;
        m_acceptor.close(error);
        m_retry.cancel();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const beast::error_code& error, tcp::socket socket) {
            self->handleAccepted(error, std::move(socket));
        });
    }

    void handleAccepted(const beast::error_code& error, tcp::socket socket)
    {
        if (!m_acceptor.is_open())
            return;
        if (error) {
            acceptLater();
            return;
        }
        if (*m_connections < maxConnections)
            std::make_shared<HttpConnection>(std::move(socket), m_handler, m_connections)->read();
        accept();
    }

    // Waits before the next attempt: when descriptors run out, accepting fails at once and again.
    void acceptLater()
    {
        constexpr std::chrono::milliseconds pause { 100 };
        m_retry.expires_after(pause);
        m_retry.async_wait([self = shared_from_this()](const beast::error_code& error) {
            if (!error)
                self->accept();
        });
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_retry;
    Handler m_handler;
    std::shared_ptr<std::atomic<std::size_t>> m_connections = std::make_shared<std::atomic<std::size_t>>(0);
};

HttpEndpoint::HttpEndpoint(asio::io_context& context, Handler handler)
    : m_implementation(std::make_shared<Implementation>(context, std::move(handler)))
{
}

HttpEndpoint::~HttpEndpoint() { m_implementation->close(); }

Status HttpEndpoint::listen(const Ipv4Endpoint& endpoint) { return m_implementation->listen(endpoint); }

std::uint16_t HttpEndpoint::port() const { return m_implementation->port(); }

} // namespace anvilwalk
