#include <anvilwalkd/HttpEndpoint.h>
#include <anvilwalkd/TargetPoller.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <fakes/Await.h>
#include <functional>
#include <future>
#include <thread>

using namespace anvilwalk;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr Ipv4Endpoint anyLoopbackPort { { 0x7f000001 }, 0 };

// Runs an io_context on its own thread.
class ContextThread {
public:
    ContextThread()
        : m_guard(boost::asio::make_work_guard(context))
        , m_thread([this] { context.run(); })
    {
    }
    ~ContextThread()
    {
        context.stop();
        m_thread.join();
    }

    // Runs a function on the thread and waits until it returns.
    void runAndWait(const std::function<void()>& function)
    {
        std::promise<void> done;
        boost::asio::post(context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

// Sends text and returns what the server sends until it closes the connection.
std::string sendAndReceive(std::uint16_t port, const std::string& text)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address_v4(anyLoopbackPort.address.value), port });
    boost::asio::write(socket, boost::asio::buffer(text));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
}

std::string get(std::uint16_t port, const std::string& path)
{
    return sendAndReceive(port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
}

} // namespace

TEST_CASE("The HTTP endpoint answers by path and tolerates invalid requests")
{
    ContextThread thread;
    HttpEndpoint endpoint(thread.context, [](const std::string& path) {
        return path == "/ready" ? HttpAnswer { .body = "yes" } : HttpAnswer { .status = 404, .body = "no" };
    });
    REQUIRE(isOk(endpoint.listen(anyLoopbackPort)));
    CHECK(get(endpoint.port(), "/ready").find("200 OK") != std::string::npos);
    CHECK(get(endpoint.port(), "/other").find("404") != std::string::npos);
    sendAndReceive(endpoint.port(), std::string(20'000, '\x01'));
    CHECK(sendAndReceive(endpoint.port(), "PUT /ready HTTP/1.1\r\nConnection: close\r\n\r\n").find("405")
        != std::string::npos);
    CHECK(get(endpoint.port(), "/ready").find("yes") != std::string::npos);
    HttpEndpoint second(thread.context, [](const std::string&) { return HttpAnswer {}; });
    CHECK_FALSE(isOk(second.listen({ anyLoopbackPort.address, endpoint.port() })));
}

TEST_CASE("The poller reports reachable and unreachable targets")
{
    ContextThread thread;
    std::atomic<unsigned> openFlows { 5 };
    HttpEndpoint host(thread.context, [&](const std::string& path) {
        return HttpAnswer { .status = path == "/health" ? 200U : 404U,
            .body = R"({"healthy":true,"openFlows":)" + std::to_string(openFlows) + "}" };
    });
    REQUIRE(isOk(host.listen(anyLoopbackPort)));
    const std::string base = "http://127.0.0.1:" + std::to_string(host.port());
    std::array<std::atomic<int>, 4> reachable {};
    std::array<std::atomic<int>, 4> unreachable {};
    std::atomic<unsigned> seenFlows { 0 };
    ContextThread pollerThread;
    auto poller = std::make_unique<TargetPoller>(
        pollerThread.context, TargetPollerOptions { .interval = 10ms, .timeout = 500ms },
        [&] {
            return std::vector<PolledTarget> { { TargetId(1), base + "/health" }, { TargetId(2), base + "/wrong" },
                { TargetId(3), "not a URL" } };
        },
        [&](const TargetReport& report) {
            ++(report.reachable ? reachable : unreachable)[report.target.value()];
            if (report.target == TargetId(1))
                seenFlows = report.openFlows;
        });
    boost::asio::post(pollerThread.context, [&] { poller->start(); });
    CHECK(fakes::await([&] { return reachable[1] > 3 && unreachable[2] > 3 && unreachable[3] > 3; }));
    CHECK(reachable[2] == 0);
    CHECK(reachable[3] == 0);
    openFlows = 9;
    CHECK(fakes::await([&] { return seenFlows == 9; }));
    pollerThread.runAndWait([&] { poller.reset(); });
}

// Guards against a stalled host that blocks its own reports or those of other targets.
TEST_CASE("A target that accepts and does not answer is reported unreachable")
{
    boost::asio::io_context listenContext;
    tcp::acceptor silent(listenContext, { boost::asio::ip::make_address_v4(anyLoopbackPort.address.value), 0 });
    const std::string url = "http://127.0.0.1:" + std::to_string(silent.local_endpoint().port()) + "/health";
    std::atomic<int> unreachable { 0 };
    ContextThread thread;
    auto poller = std::make_unique<TargetPoller>(
        thread.context, TargetPollerOptions { .interval = 20ms, .timeout = 50ms },
        [&] {
            return std::vector<PolledTarget> { { TargetId(1), url } };
        },
        [&](const TargetReport& report) { unreachable += report.reachable ? 0 : 1; });
    boost::asio::post(thread.context, [&] { poller->start(); });
    CHECK(fakes::await([&] { return unreachable >= 3; }));
    thread.runAndWait([&] { poller.reset(); });
}
