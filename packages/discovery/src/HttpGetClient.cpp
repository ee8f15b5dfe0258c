#include <anvilwalk/discovery/HttpGetClient.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace anvilwalk {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using tcp = asio::ip::tcp;

    constexpr unsigned httpVersion11 = 11;

    Error unavailable(std::string message) { return { .code = ErrorCode::Unavailable, .message = std::move(message) }; }

} // namespace

class HttpGetClient::Connection {
public:
    Connection(asio::io_context& context, const HttpGetClientOptions& options)
        : m_stream(context)
        , m_options(options)
    {
    }

    asio::awaitable<boost::system::error_code> open()
    {
        boost::system::error_code error;
        m_stream.expires_after(m_options.connectTimeout);
        const tcp::endpoint endpoint(asio::ip::address_v4(m_options.server.address.value), m_options.server.port);
        co_await m_stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            m_stream.socket().set_option(tcp::no_delay(true), error);
        co_return error;
    }

    asio::awaitable<boost::system::error_code> exchange(const http::request<http::empty_body>& request,
        http::response<http::string_body>& response, std::chrono::milliseconds timeout)
    {
        boost::system::error_code error;
        m_stream.expires_after(timeout);
        co_await http::async_write(m_stream, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return error;
        http::response_parser<http::string_body> parser;
        parser.body_limit(m_options.maxBodyBytes);
        co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            response = parser.release();
        co_return error;
    }

private:
    beast::tcp_stream m_stream;
    const HttpGetClientOptions& m_options;
    beast::flat_buffer m_buffer;
};

std::optional<std::string_view> HttpResponse::header(std::string_view name) const
{
    for (const auto& [known, value] : headers) {
        if (beast::iequals(known, beast::string_view(name.data(), name.size())))
            return value;
    }
    return std::nullopt;
}

HttpGetClient::HttpGetClient(const HttpGetClientOptions& options, asio::io_context& context)
    : m_options(options)
    , m_context(context)
{
}

HttpGetClient::~HttpGetClient() = default;

asio::awaitable<Result<HttpResponse>> HttpGetClient::get(std::string target, std::chrono::milliseconds timeout)
{
    // Moved out until the request succeeds, so that a failed request never leaves its connection for reuse.
    auto connection = std::exchange(m_connection, nullptr);
    const bool mayRetry = connection != nullptr && m_options.retryOnIdleConnection;
    if (!connection) {
        connection = std::make_unique<Connection>(m_context, m_options);
        if (const auto error = co_await connection->open())
            co_return unavailable("connect: " + error.message());
    }
    http::request<http::empty_body> request(http::verb::get, target, httpVersion11);
    request.set(http::field::host, m_options.server.toString());
    http::response<http::string_body> response;
    auto error = co_await connection->exchange(request, response, timeout);
    if (error && mayRetry && error != beast::error::timeout) {
        // The server may close an idle connection at any time.
        connection = std::make_unique<Connection>(m_context, m_options);
        error = co_await connection->open();
        if (!error)
            error = co_await connection->exchange(request, response, timeout);
    }
    if (error)
        co_return unavailable("GET " + target + ": " + error.message());
    if (response.keep_alive())
        m_connection = std::move(connection);
    HttpResponse result { .status = response.result_int(), .body = std::move(response.body()) };
    for (const auto& field : response)
        result.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    co_return result;
}

} // namespace anvilwalk
