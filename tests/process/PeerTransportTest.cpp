#include <anvilwalk/process/grpc/GrpcPeerClient.h>
#include <anvilwalk/process/grpc/GrpcPeerServer.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <fakes/Await.h>
#include <future>
#include <mutex>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

constexpr Ipv4Endpoint anyLoopbackPort { { 0x7f000001 }, 0 };

// Records received heartbeats; responses to FetchRecords can be blocked.
class RecordingHandler final : public PeerHandler {
public:
    std::uint64_t streamEpoch() override { return epoch; }

    void handleHeartbeat(const peer::Heartbeat& heartbeat) override
    {
        const std::lock_guard lock(m_mutex);
        m_sequences.push_back(heartbeat.sequence());
    }

    peer::FetchStateResponse answerFetchState(const peer::FetchStateRequest& request) override
    {
        peer::FetchStateResponse response;
        response.set_config_version(request.known_config_version() + 1);
        response.add_revision_json(std::string(revisionBytes, 'x'));
        return response;
    }

    peer::FetchRecordsResponse answerFetchRecords(const peer::FetchRecordsRequest&) override
    {
        std::unique_lock lock(m_mutex);
        m_unblocked.wait(lock, [this] { return !m_blocked; });
        return {};
    }

    peer::PushRecordsResponse answerPushRecords(const peer::PushRecordsRequest& request) override
    {
        peer::PushRecordsResponse response;
        response.set_stored(static_cast<std::uint32_t>(request.records_size()));
        return response;
    }

    peer::BalancerStatus answerCollectStatus(const peer::CollectStatusRequest& request) override
    {
        peer::BalancerStatus status;
        status.set_balancer("asked by " + request.requester());
        return status;
    }

    std::vector<std::uint64_t> sequences() const
    {
        const std::lock_guard lock(m_mutex);
        return m_sequences;
    }

    bool hasSequence(std::uint64_t sequence) const
    {
        const std::vector<std::uint64_t> all = sequences();
        return std::find(all.begin(), all.end(), sequence) != all.end();
    }

    void setBlocked(bool on)
    {
        const std::lock_guard lock(m_mutex);
        m_blocked = on;
        m_unblocked.notify_all();
    }

    std::atomic<std::uint64_t> epoch { 1 };
    std::size_t revisionBytes = 0;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_unblocked;
    std::vector<std::uint64_t> m_sequences;
    bool m_blocked = false;
};

Ipv4Endpoint endpointOf(const GrpcPeerServer& server) { return { anyLoopbackPort.address, server.port() }; }

peer::Heartbeat heartbeat(std::uint64_t sequence)
{
    peer::Heartbeat result;
    result.set_sender("b1");
    result.set_sequence(sequence);
    return result;
}

// Starts a call and waits for its result.
template <class Response, class Call> Result<Response> awaitResponse(Call call)
{
    auto promise = std::make_shared<std::promise<Result<Response>>>();
    auto future = promise->get_future();
    call([promise](Result<Response> result) { promise->set_value(std::move(result)); });
    REQUIRE(future.wait_for(20s) == std::future_status::ready);
    return future.get();
}

// A TCP listener whose connections complete in the kernel but are never served.
class UnresponsiveListener {
public:
    UnresponsiveListener()
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(anyLoopbackPort.address.value);
        REQUIRE(::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(m_descriptor, 16) == 0);
        socklen_t size = sizeof(address);
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        endpoint = { anyLoopbackPort.address, ntohs(address.sin_port) };
    }
    ~UnresponsiveListener() { ::close(m_descriptor); }

    Ipv4Endpoint endpoint;

private:
    int m_descriptor;
};

} // namespace

TEST_CASE("Heartbeats arrive in order on one stream")
{
    RecordingHandler handler;
    GrpcPeerServer server(anyLoopbackPort, handler);
    REQUIRE(server.listening());
    GrpcPeerClient client;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        client.sendHeartbeat(endpointOf(server), heartbeat(sequence));
        REQUIRE(fakes::await([&] { return handler.hasSequence(sequence); }));
    }
    CHECK(handler.sequences() == std::vector<std::uint64_t> { 1, 2, 3, 4, 5 });
    CHECK(client.bytesSent() > 70);
}

// Guards against queueing outdated heartbeats for a peer that is slow or unreachable.
TEST_CASE("A newer heartbeat replaces a pending one")
{
    RecordingHandler handler;
    GrpcPeerServer server(anyLoopbackPort, handler);
    GrpcPeerClient client;
    for (std::uint64_t sequence = 1; sequence <= 1000; ++sequence)
        client.sendHeartbeat(endpointOf(server), heartbeat(sequence));
    REQUIRE(fakes::await([&] { return handler.hasSequence(1000); }));
    CHECK(handler.sequences().size() < 1000);
}

TEST_CASE("Unary calls carry request and response")
{
    RecordingHandler handler;
    GrpcPeerServer server(anyLoopbackPort, handler);
    GrpcPeerClient client;
    const Ipv4Endpoint to = endpointOf(server);

    peer::FetchStateRequest stateRequest;
    stateRequest.set_known_config_version(4);
    // Exceeds gRPC's default message size limit of 4 MB.
    handler.revisionBytes = 6'000'000;
    const auto state = awaitResponse<peer::FetchStateResponse>(
        [&](auto done) { client.fetchState(to, stateRequest, std::move(done)); });
    REQUIRE(isOk(state));
    CHECK(valueOf(state).config_version() == 5);
    CHECK(valueOf(state).revision_json(0).size() == handler.revisionBytes);

    peer::PushRecordsRequest push;
    push.add_records();
    const auto pushed
        = awaitResponse<peer::PushRecordsResponse>([&](auto done) { client.pushRecords(to, push, std::move(done)); });
    REQUIRE(isOk(pushed));
    CHECK(valueOf(pushed).stored() == 1);

    peer::CollectStatusRequest collect;
    collect.set_requester("b1");
    const auto status
        = awaitResponse<peer::BalancerStatus>([&](auto done) { client.collectStatus(to, collect, std::move(done)); });
    REQUIRE(isOk(status));
    CHECK(valueOf(status).balancer() == "asked by b1");
}

TEST_CASE("A call without a response by its deadline fails with an unknown outcome")
{
    RecordingHandler handler;
    GrpcPeerServer server(anyLoopbackPort, handler);
    GrpcPeerClient client({ .callDeadline = 100ms });
    handler.setBlocked(true);
    const auto result = awaitResponse<peer::FetchRecordsResponse>(
        [&](auto done) { client.fetchRecords(endpointOf(server), {}, std::move(done)); });
    handler.setBlocked(false);
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == ErrorCode::Unknown);
}

TEST_CASE("A call to an unresponsive peer fails at its deadline")
{
    const UnresponsiveListener unresponsive;
    GrpcPeerClient client({ .callDeadline = 200ms, .streamTimeout = 100ms });
    const auto start = std::chrono::steady_clock::now();
    const auto result = awaitResponse<peer::FetchRecordsResponse>(
        [&](auto done) { client.fetchRecords(unresponsive.endpoint, {}, std::move(done)); });
    CHECK_FALSE(isOk(result));
    CHECK(std::chrono::steady_clock::now() - start < 10s);
    // An open stream to the peer must not block the destructor of the client either.
    client.sendHeartbeat(unresponsive.endpoint, heartbeat(1));
}

TEST_CASE("Heartbeats reach a peer that restarts on the same port")
{
    RecordingHandler handler;
    auto server = std::make_unique<GrpcPeerServer>(anyLoopbackPort, handler);
    const Ipv4Endpoint to = endpointOf(*server);
    GrpcPeerClient client({ .streamTimeout = 300ms, .initialBackoff = 10ms, .maxBackoff = 50ms });
    client.sendHeartbeat(to, heartbeat(1));
    REQUIRE(fakes::await([&] { return handler.hasSequence(1); }));
    server.reset();
    client.sendHeartbeat(to, heartbeat(2));
    server = std::make_unique<GrpcPeerServer>(to, handler);
    REQUIRE(server->listening());
    CHECK(fakes::await([&] {
        client.sendHeartbeat(to, heartbeat(3));
        return handler.hasSequence(3);
    }));
}

TEST_CASE("A stream past its lifetime is replaced without losing a heartbeat")
{
    RecordingHandler handler;
    GrpcPeerServer server(anyLoopbackPort, handler);
    GrpcPeerClient client({ .streamLifetime = 5ms });
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
        client.sendHeartbeat(endpointOf(server), heartbeat(sequence));
        REQUIRE(fakes::await([&] { return handler.hasSequence(sequence); }));
    }
    CHECK(handler.sequences().size() == 50);
}

// Guards against reporting old versions as current: heartbeats buffered while the receiver was paused are outdated.
TEST_CASE("Heartbeats on a stream opened before a pause are rejected")
{
    RecordingHandler handler;
    GrpcPeerServer server(anyLoopbackPort, handler);
    GrpcPeerClient client({ .initialBackoff = 10ms, .maxBackoff = 50ms });
    const Ipv4Endpoint to = endpointOf(server);
    client.sendHeartbeat(to, heartbeat(1));
    REQUIRE(fakes::await([&] { return handler.hasSequence(1); }));
    handler.epoch = 2;
    client.sendHeartbeat(to, heartbeat(2));
    CHECK(fakes::await([&] {
        client.sendHeartbeat(to, heartbeat(3));
        return handler.hasSequence(3);
    }));
    CHECK_FALSE(handler.hasSequence(2));
}

TEST_CASE("Malformed data on the control port neither stops the server nor reaches its handler")
{
    RecordingHandler handler;
    GrpcPeerServer server(anyLoopbackPort, handler);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(anyLoopbackPort.address.value);
    address.sin_port = htons(server.port());
    REQUIRE(::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    const std::vector<char> garbage(10'000, '\x7f');
    ::send(descriptor, garbage.data(), garbage.size(), MSG_NOSIGNAL);
    // The server closes the connection.
    std::array<char, 4096> answer {};
    while (::recv(descriptor, answer.data(), answer.size(), 0) > 0) { }
    ::close(descriptor);

    GrpcPeerClient client;
    client.sendHeartbeat(endpointOf(server), heartbeat(1));
    CHECK(fakes::await([&] { return handler.hasSequence(1); }));
    CHECK(handler.sequences().size() == 1);
}

TEST_CASE("A bind to an address in use is reported")
{
    RecordingHandler handler;
    const GrpcPeerServer first(anyLoopbackPort, handler);
    const GrpcPeerServer second(endpointOf(first), handler);
    CHECK(first.listening());
    CHECK_FALSE(second.listening());
}
