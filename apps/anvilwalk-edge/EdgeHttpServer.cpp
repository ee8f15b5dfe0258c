#include "EdgeHttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
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

    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };
    // Requests of probers have only a few header lines.
    constexpr std::uint32_t maxHeaderBytes = 8192;

    http::response<http::string_body> makeResponse(
        const http::request<http::empty_body>& request, const EdgeHttpServer::Handler& handler)
    {
        http::response<http::string_body> response(http::status::not_found, request.version());
        if (request.method() != http::verb::get) {
            response.result(http::status::method_not_allowed);
        } else if (auto reply = handler({ request.target().data(), request.target().size() })) {
            response.result(reply->status);
            response.set(
                http::field::content_type, beast::string_view(reply->contentType.data(), reply->contentType.size()));
            response.body() = std::move(reply->body);
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        return response;
    }

} // namespace

EdgeHttpServer::EdgeHttpServer(const EdgeHttpServerOptions& options, asio::io_context& context, Handler handler)
    : m_options(options)
    , m_context(context)
    , m_acceptor(context)
    , m_handler(std::move(handler))
{
}

Status EdgeHttpServer::open()
{
    const tcp::endpoint endpoint(asio::ip::address_v4(m_options.address.address.value), m_options.address.port);
    boost::system::error_code error;
    m_acceptor.open(tcp::v4(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error { .code = ErrorCode::Unavailable,
            .message = "cannot listen at " + m_options.address.toString() + ": " + error.message() };
    return std::monostate {};
}

asio::awaitable<void> EdgeHttpServer::run()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // For example out of file descriptors; connections stay in the listen backlog until the retry.
            asio::steady_timer timer(m_context, acceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> EdgeHttpServer::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(maxHeaderBytes);
    for (;;) {
        boost::system::error_code error;
        stream.expires_after(m_options.idleTimeout);
        http::request<http::empty_body> request;
        co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        const http::response<http::string_body> response = makeResponse(request, m_handler);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !response.keep_alive())
            co_return;
    }
}

} // namespace anvilwalk
