#include "ScriptedHttpServer.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace anvilwalk::fakes {

namespace {

    // Reads until the whole request is there: the header and as many bytes as its Content-Length says.
    std::string readRequest(int connection)
    {
        std::string text;
        std::array<char, 4096> bytes {};
        for (;;) {
            const std::size_t end = text.find("\r\n\r\n");
            if (end != std::string::npos) {
                const std::size_t length = text.find("Content-Length: ");
                const std::size_t body = length == std::string::npos ? 0 : std::stoul(text.substr(length + 16));
                if (text.size() >= end + 4 + body)
                    return text;
            }
            const ssize_t count = recv(connection, bytes.data(), bytes.size(), 0);
            if (count <= 0)
                return text;
            text.append(bytes.data(), static_cast<std::size_t>(count));
        }
    }

} // namespace

ScriptedHttpServer::ScriptedHttpServer(std::vector<std::string> answers)
    : m_answers(std::move(answers))
    , m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    (void)::bind(m_socket, reinterpret_cast<sockaddr*>(&address), size);
    listen(m_socket, 8);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_endpoint = { .address = { .value = INADDR_LOOPBACK }, .port = ntohs(address.sin_port) };
    m_thread = std::thread([this] { run(); });
}

ScriptedHttpServer::~ScriptedHttpServer()
{
    m_stop = true;
    m_thread.join();
    close(m_socket);
}

void ScriptedHttpServer::run()
{
    constexpr int pollMs = 10;
    std::vector<int> held;
    while (!m_stop) {
        pollfd ready { .fd = m_socket, .events = POLLIN, .revents = 0 };
        if (poll(&ready, 1, pollMs) <= 0 || m_requests.size() >= m_answers.size())
            continue;
        const int connection = accept(m_socket, nullptr, nullptr);
        const std::string& answer = m_answers[m_requests.size()];
        m_requests.push_back(readRequest(connection));
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (m_holdLast && m_requests.size() == m_answers.size())
            held.push_back(connection);
        else
            close(connection);
    }
    for (const int connection : held)
        close(connection);
}

} // namespace anvilwalk::fakes
