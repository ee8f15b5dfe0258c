#include <anvilwalk/units/SocketAddress.h>
#include <anvilwalkd/PacketTracer.h>
#include <anvilwalkd/PacketWorker.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <fakes/Await.h>
#include <fakes/PacketBuilder.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <thread>

using namespace anvilwalk;

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr Ipv4Endpoint anyLoopbackPort { { 0x7f000001 }, 0 };
const FlowKey flow { .source = { 0x0a000001 },
    .destination = { 0xcb00710a },
    .sourcePort = 40000,
    .destinationPort = 443,
    .protocol = Protocol::Tcp };

// Router whose decisions are set by the test.
class ScriptedRouter final : public RelayRouter {
public:
    Decision route(const PacketView& packet, MonotonicTime) override { return onPacket(packet); }
    Decision routeRelayed(const RelayHeader& header, const PacketView&, MonotonicTime) override
    {
        return onRelayed(header);
    }
    void setState(RoutingStatePointer) override { }
    void updatePeerContact(MonotonicTime) override { }

    std::function<Decision(const PacketView&)> onPacket;
    std::function<Decision(const RelayHeader&)> onRelayed;
};

UdpSocket makeSocket()
{
    Result<UdpSocket> result = UdpSocket::bind(anyLoopbackPort, false);
    REQUIRE(isOk(result));
    return std::move(valueOf(result));
}

void sendTo(const UdpSocket& from, const Ipv4Endpoint& to, const Bytes& bytes)
{
    const sockaddr_in address = toSocketAddress(to);
    REQUIRE(::sendto(from.descriptor(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address))
        == static_cast<ssize_t>(bytes.size()));
}

// Returns the next datagram received on a socket; empty on timeout.
Bytes receive(const UdpSocket& at)
{
    Bytes bytes(maxDatagramBytes);
    ssize_t size = -1;
    fakes::await([&] { return (size = ::recv(at.descriptor(), bytes.data(), bytes.size(), 0)) >= 0; });
    bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    return bytes;
}

// A worker on free ports with its thread, a client socket, and a socket that acts as target, peer and gateway.
class WorkerFixture {
public:
    explicit WorkerFixture(PacketTracer* tracer = nullptr)
        : client(makeSocket())
        , other(makeSocket())
    {
        UdpSocket packets = makeSocket();
        UdpSocket relayed = makeSocket();
        packetEndpoint = packets.localEndpoint();
        relayEndpoint = relayed.localEndpoint();
        worker = std::make_unique<PacketWorker>(
            PacketWorkerOptions { .router = router,
                .clock = clock,
                .countDrop = [this](DropReason reason) { ++drops[static_cast<std::size_t>(reason)]; },
                .refusalGateway = other.localEndpoint(),
                .tracer = tracer },
            std::move(packets), std::move(relayed));
        router.onPacket = [this](const PacketView&) {
            return ForwardToTarget { .target = TargetId(1), .tunnel = other.localEndpoint(), .service = ServiceId(1) };
        };
        thread = std::thread([this] { worker->run(); });
    }
    ~WorkerFixture()
    {
        worker->stop();
        thread.join();
    }

    std::uint64_t dropsOf(DropReason reason) const { return drops[static_cast<std::size_t>(reason)]; }

    SystemClock clock;
    ScriptedRouter router;
    UdpSocket client;
    UdpSocket other;
    Ipv4Endpoint packetEndpoint;
    Ipv4Endpoint relayEndpoint;
    std::array<std::atomic<std::uint64_t>, dropReasonCount> drops {};
    std::unique_ptr<PacketWorker> worker;
    std::thread thread;
};

} // namespace

TEST_CASE("A packet reaches its target unchanged")
{
    WorkerFixture fixture;
    for (std::size_t count = 0; count < 200; ++count) {
        const Bytes packet
            = fakes::buildTcpPacket(flow, { .ack = true }, Bytes(count * 5, static_cast<std::uint8_t>(count)));
        sendTo(fixture.client, fixture.packetEndpoint, packet);
        CHECK(receive(fixture.other) == packet);
    }
}

TEST_CASE("A relayed packet reaches the peer's router with its header")
{
    WorkerFixture fixture;
    const RelayHeader header { .purpose = RelayPurpose::Decide,
        .hops = 1,
        .sender = BalancerId("b1"),
        .owner = {},
        .service = ServiceId(3),
        .slot = slotOf(flow.hash()),
        .target = {},
        .tableVersion = TableVersion(8) };
    // The worker relays to itself.
    fixture.router.onPacket = [&](const PacketView&) {
        return RelayToBalancer { .relayEndpoint = fixture.relayEndpoint, .header = header };
    };
    std::atomic<std::uint32_t> hops { 0 };
    fixture.router.onRelayed = [&](const RelayHeader& received) {
        hops = received.hops;
        return ForwardToTarget {
            .target = TargetId(1), .tunnel = fixture.other.localEndpoint(), .service = received.service
        };
    };
    const Bytes packet = fakes::buildTcpPacket(flow, { .ack = true }, { 1, 2, 3 });
    sendTo(fixture.client, fixture.packetEndpoint, packet);
    CHECK(receive(fixture.other) == packet);
    CHECK(hops == 1);
}

TEST_CASE("A refused flow is reset through the gateway")
{
    WorkerFixture fixture;
    fixture.router.onPacket = [](const PacketView&) { return RefuseFlow { .service = ServiceId(1) }; };
    sendTo(fixture.client, fixture.packetEndpoint, fakes::buildTcpPacket(flow, { .syn = true }));
    const Bytes reset = receive(fixture.other);
    const auto parsed = PacketView::parse(reset);
    REQUIRE(std::holds_alternative<PacketView>(parsed));
    CHECK(std::get<PacketView>(parsed).key().destination == flow.source);
    CHECK(std::get<PacketView>(parsed).kind() == PacketKind::Closing);
}

// Guards against malformed packets, which anyone can send, crashing the worker or stopping the packet path.
TEST_CASE("Malformed datagrams on both ports are counted by reason and do not stop the worker")
{
    WorkerFixture fixture;
    sendTo(fixture.client, fixture.packetEndpoint, {});
    sendTo(fixture.client, fixture.packetEndpoint, { 1, 2, 3 });
    sendTo(fixture.client, fixture.packetEndpoint, Bytes(60, 0xff));
    sendTo(fixture.client, fixture.packetEndpoint, Bytes(maxDatagramBytes + 1, 0x45));
    sendTo(fixture.client, fixture.relayEndpoint, Bytes(100, 0xff));
    sendTo(fixture.client, fixture.relayEndpoint, {});
    FlowKey toBalancer = flow;
    toBalancer.destination = fixture.packetEndpoint.address;
    sendTo(fixture.client, fixture.packetEndpoint, fakes::buildTcpPacket(toBalancer, { .syn = true }));
    CHECK(fakes::await([&] { return fixture.dropsOf(DropReason::AddressedToBalancer) == 1; }));
    CHECK(fakes::await([&] { return fixture.dropsOf(DropReason::Truncated) == 3; }));
    CHECK(fakes::await([&] { return fixture.dropsOf(DropReason::BadVersion) == 1; }));
    CHECK(fakes::await([&] { return fixture.dropsOf(DropReason::BadRelayHeader) == 2; }));
    const Bytes packet = fakes::buildTcpPacket(flow, { .ack = true });
    sendTo(fixture.client, fixture.packetEndpoint, packet);
    CHECK(receive(fixture.other) == packet);
}

TEST_CASE("A sampled packet is recorded as a span with flow, hop, balancer and target")
{
    const std::filesystem::path path
        = std::filesystem::temp_directory_path() / ("anvilwalk-spans-" + std::to_string(::getpid()));
    {
        PacketTracer tracer({ .balancer = BalancerId("b1"), .sampleEvery = 1, .output = path.string() });
        WorkerFixture fixture(&tracer);
        sendTo(fixture.client, fixture.packetEndpoint, fakes::buildTcpPacket(flow, { .ack = true }));
        CHECK_FALSE(receive(fixture.other).empty());
    }
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    std::filesystem::remove(path);
    const nlohmann::json spans = nlohmann::json::parse(text.str(), nullptr, false);
    REQUIRE(spans.is_array());
    REQUIRE(spans.size() == 1);
    const nlohmann::json& tags = spans[0]["tags"];
    CHECK(tags["balancer"] == "b1");
    CHECK(tags["target"] == 1);
    CHECK(tags["hop"] == 0);
    CHECK(tags["decision"] == "forward");
    CHECK(tags.contains("flow"));
}
