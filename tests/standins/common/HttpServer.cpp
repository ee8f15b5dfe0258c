#include "HttpServer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <optional>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace anvilwalk::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    // Larger than the largest object of the platform, so that the platform itself can refuse it.
    constexpr std::uint64_t bodyLimitBytes = 8U << 20U;

    HttpRequest toRequest(const http::request<http::string_body>& message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.body = message.body();
        const std::string target(message.target());
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        std::size_t begin = mark == std::string::npos ? target.size() : mark + 1;
        while (begin < target.size()) {
            const auto end = std::min(target.find('&', begin), target.size());
            const std::string pair = target.substr(begin, end - begin);
            const auto equals = std::min(pair.find('='), pair.size());
            request.query[pair.substr(0, equals)] = equals < pair.size() ? pair.substr(equals + 1) : "";
            begin = end + 1;
        }
        return request;
    }

    class Session final : public HttpExchange, public std::enable_shared_from_this<Session> {
    public:
        Session(tcp::socket socket, HttpServer::Handler handler)
            : m_socket(std::move(socket))
            , m_handler(std::move(handler))
        {
        }

        void readRequest()
        {
            m_parser.emplace();
            m_parser->body_limit(bodyLimitBytes);
            http::async_read(m_socket, m_buffer, *m_parser,
                [self = shared_from_this()](error_code error, std::size_t) { self->handleRequest(error); });
        }

        const HttpRequest& request() const override { return m_request; }

        void respond(unsigned status, const std::string& body) override
        {
            const std::string reason(http::obsolete_reason(static_cast<http::status>(status)));
            enqueue("HTTP/1.1 " + std::to_string(status) + " " + reason
                + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
            finishAnswer();
        }

        void closeWithoutAnswer() override
        {
            m_open = false;
            error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_both, ignored); // NOLINT(bugprone-unused-return-value)
            m_socket.close(ignored); // NOLINT(bugprone-unused-return-value)
        }

        void beginStream() override
        {
            enqueue("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            readUntilClosed();
        }

        void sendChunk(const std::string& data) override
        {
            if (data.empty())
                return;
            std::array<char, 20> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
            enqueue(size.data() + data + "\r\n");
        }

        void endStream() override
        {
            enqueue("0\r\n\r\n");
            m_closeAfterWrite = true;
        }

        bool isOpen() const override { return m_open; }

    private:
        void handleRequest(error_code error)
        {
            if (error) {
                closeWithoutAnswer();
                return;
            }
            m_keepAlive = m_parser->get().keep_alive();
            m_request = toRequest(m_parser->get());
            m_handler(shared_from_this());
        }

        void finishAnswer()
        {
            if (!m_open)
                return;
            if (!m_keepAlive)
                m_closeAfterWrite = true;
            else
                readRequest();
        }

        // A client sends nothing during a stream; a completed read means that it has closed the connection.
        void readUntilClosed()
        {
            m_socket.async_read_some(
                asio::buffer(m_discard), [self = shared_from_this()](error_code error, std::size_t) {
                    if (error)
                        self->closeWithoutAnswer();
                    else
                        self->readUntilClosed();
                });
        }

        void enqueue(std::string data)
        {
            if (!m_open)
                return;
            m_output.push_back(std::move(data));
            if (m_output.size() == 1)
                writeNext();
        }

        void writeNext()
        {
            asio::async_write(m_socket, asio::buffer(m_output.front()),
                [self = shared_from_this()](error_code error, std::size_t) { self->handleWritten(error); });
        }

        void handleWritten(error_code error)
        {
            m_output.pop_front();
            if (error) {
                closeWithoutAnswer();
                return;
            }
            if (!m_output.empty())
                writeNext();
            else if (m_closeAfterWrite)
                closeWithoutAnswer();
        }

        tcp::socket m_socket;
        HttpServer::Handler m_handler;
        beast::flat_buffer m_buffer;
        std::optional<http::request_parser<http::string_body>> m_parser;
        HttpRequest m_request;
        std::deque<std::string> m_output;
        std::array<char, 256> m_discard {};
        bool m_open = true;
        bool m_keepAlive = true;
        bool m_closeAfterWrite = false;
    };

} // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation> {
public:
    Implementation(asio::io_context& context, const Ipv4Endpoint& endpoint, Handler handler)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4(endpoint.address.value), endpoint.port))
        , m_handler(std::move(handler))
    {
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                std::make_shared<Session>(std::move(socket), self->m_handler)->readRequest();
            self->accept();
        });
    }

    void close()
    {
        error_code ignored;
        m_acceptor.close(ignored); // NOLINT(bugprone-unused-return-value)
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    tcp::acceptor m_acceptor;
    Handler m_handler;
};

HttpServer::HttpServer(asio::io_context& context, const Ipv4Endpoint& endpoint, Handler handler)
    : m_implementation(std::make_shared<Implementation>(context, endpoint, std::move(handler)))
{
    m_implementation->accept();
}

HttpServer::~HttpServer() { m_implementation->close(); }

std::uint16_t HttpServer::port() const { return m_implementation->port(); }

} // namespace anvilwalk::standins
