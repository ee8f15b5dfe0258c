// Compares the packet rate of the balancer's packet path with that of a bare receive-and-send loop on the same
// kind of sockets. Both run in turn, several times, under more load than they can take.

#include <anvilwalk/units/SocketAddress.h>
#include <anvilwalkd/PacketWorker.h>

#include <fakes/PacketBuilder.h>

#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <poll.h>
#include <thread>
#include <vector>

using namespace anvilwalk;

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr Ipv4Address loopback { 0x7f000001 };
const ServiceAddress service { .address = { 0xcb00710a }, .port = 443, .protocol = Protocol::Tcp };
constexpr std::size_t targetCount = 14;
constexpr std::chrono::milliseconds warmUp { 300 };

struct LoadOptions {
    std::size_t flows = 100'000;
    std::size_t payloadBytes = 100;
    std::size_t senders = 2;
    std::chrono::milliseconds duration { 2000 };
    // Of a device under test; each has its own sockets.
    std::size_t threads = 1;
};

UdpSocket bindSocket(const Ipv4Endpoint& endpoint, bool sharePort)
{
    Result<UdpSocket> result = UdpSocket::bind(endpoint, sharePort);
    if (!isOk(result))
        throw std::runtime_error(errorOf(result).message);
    return std::move(valueOf(result));
}

// Waits a moment for a datagram, so that an idle thread takes no core.
void awaitReadable(const UdpSocket& socket)
{
    constexpr int timeoutMs = 20;
    pollfd descriptor { .fd = socket.descriptor(), .events = POLLIN, .revents = 0 };
    ::poll(&descriptor, 1, timeoutMs);
}

// Counts what reaches the targets. Targets share two sockets, each with a thread.
class Sinks {
public:
    Sinks()
    {
        for (std::size_t index = 0; index < sockets; ++index) {
            m_sockets.push_back(bindSocket({ loopback, 0 }, false));
            m_endpoints.push_back(m_sockets.back().localEndpoint());
        }
        for (std::size_t index = 0; index < sockets; ++index)
            m_threads.emplace_back([this, index] { run(index); });
    }
    ~Sinks()
    {
        m_stopped = true;
        for (std::thread& thread : m_threads)
            thread.join();
    }

    Ipv4Endpoint endpointOf(std::size_t target) const { return m_endpoints[target % sockets]; }
    std::uint64_t received() const { return m_received; }

private:
    static constexpr std::size_t sockets = 2;

    void run(std::size_t index)
    {
        ReceiveBatch batch;
        while (!m_stopped) {
            const std::size_t count = batch.receive(m_sockets[index].descriptor());
            m_received += count;
            if (count == 0)
                awaitReadable(m_sockets[index]);
        }
    }

    std::vector<UdpSocket> m_sockets;
    std::vector<Ipv4Endpoint> m_endpoints;
    std::atomic<std::uint64_t> m_received { 0 };
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_threads;
};

// Something that takes packets at an endpoint and sends them on to the sinks.
class Device {
public:
    virtual ~Device() = default;
    virtual Ipv4Endpoint endpoint() const = 0;
};

// The yardstick: receives and sends in batches and looks at nothing.
class BareLoop final : public Device {
public:
    BareLoop(const LoadOptions& options, const Sinks& sinks)
    {
        Ipv4Endpoint endpoint { loopback, 0 };
        for (std::size_t index = 0; index < options.threads; ++index) {
            m_sockets.push_back(bindSocket(endpoint, true));
            endpoint = m_sockets.back().localEndpoint();
        }
        for (const UdpSocket& socket : m_sockets)
            m_threads.emplace_back([this, &socket, &sinks] { run(socket, sinks); });
    }
    ~BareLoop() override
    {
        m_stopped = true;
        for (std::thread& thread : m_threads)
            thread.join();
    }
    Ipv4Endpoint endpoint() const override { return m_sockets.front().localEndpoint(); }

private:
    void run(const UdpSocket& socket, const Sinks& sinks)
    {
        ReceiveBatch received;
        SendBatch toSend;
        std::size_t next = 0;
        while (!m_stopped) {
            const std::size_t count = received.receive(socket.descriptor());
            for (std::size_t index = 0; index < count; ++index)
                toSend.add(sinks.endpointOf(next++), received.datagram(index));
            toSend.send(socket.descriptor());
            if (count == 0)
                awaitReadable(socket);
        }
    }

    std::vector<UdpSocket> m_sockets;
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_threads;
};

RoutingStatePointer makeState(const Sinks& sinks)
{
    table::TableSet table;
    table.set_version(1);
    table::ServiceTable& slots = *table.add_services();
    slots.set_service(1);
    for (std::size_t index = 0; index < targetCount; ++index) {
        table::TargetEntry& target = *slots.add_targets();
        target.set_id(static_cast<std::uint32_t>(index + 1));
        target.set_host("host-" + std::to_string(index));
        target.set_tunnel_address(sinks.endpointOf(index).toString());
        target.set_weight(1000);
    }
    for (std::size_t slot = 0; slot < slotsPerService; ++slot)
        slots.add_slots(static_cast<std::uint32_t>(slot % targetCount + 1));
    ServiceConfig config;
    config.id = ServiceId(1);
    config.name = ServiceName("bench/service");
    config.addresses = { service };
    auto state = std::make_shared<RoutingState>();
    state->self = BalancerId("b1");
    state->config = std::make_shared<ConfigSnapshot>(ConfigVersion(1), std::vector { config });
    state->table = valueOf(TableSnapshot::fromMessage(table));
    state->members = {
        { .id = state->self, .key = hashText(state->self.value()), .relayEndpoint = { loopback, 1 }, .settled = true }
    };
    return state;
}

// The packet path of anvilwalkd with its router and flow table.
class PacketPath final : public Device {
public:
    PacketPath(const LoadOptions& options, const Sinks& sinks)
        : m_flows(std::make_shared<FlowTable>(FlowTableOptions { .capacity = 300'000 }))
        , m_router({}, m_flows)
    {
        m_router.setState(makeState(sinks));
        const PacketWorkerOptions workerOptions { .router = m_router,
            .clock = m_clock,
            .countDrop = [this](DropReason reason) { m_router.countDrop(reason); },
            .refusalGateway = {},
            .tracer = nullptr };
        m_endpoint = { loopback, 0 };
        Ipv4Endpoint relay { loopback, 0 };
        for (std::size_t index = 0; index < options.threads; ++index) {
            UdpSocket packets = bindSocket(m_endpoint, true);
            UdpSocket relayed = bindSocket(relay, true);
            m_endpoint = packets.localEndpoint();
            relay = relayed.localEndpoint();
            m_workers.push_back(std::make_unique<PacketWorker>(workerOptions, std::move(packets), std::move(relayed)));
        }
        for (const auto& worker : m_workers)
            m_threads.emplace_back([&worker] { worker->run(); });
    }
    ~PacketPath() override
    {
        for (const auto& worker : m_workers)
            worker->stop();
        for (std::thread& thread : m_threads)
            thread.join();
    }
    Ipv4Endpoint endpoint() const override { return m_endpoint; }

private:
    SystemClock m_clock;
    std::shared_ptr<FlowTable> m_flows;
    SlotRouter m_router;
    Ipv4Endpoint m_endpoint;
    std::vector<std::unique_ptr<PacketWorker>> m_workers;
    std::vector<std::thread> m_threads;
};

std::vector<Bytes> makePackets(const LoadOptions& options)
{
    constexpr std::size_t portsPerClient = 50'000;
    constexpr std::size_t firstPort = 10'000;
    std::vector<Bytes> packets;
    for (std::size_t flow = 0; flow < options.flows; ++flow) {
        const FlowKey key { .source = { static_cast<std::uint32_t>(0x0a000001 + flow / portsPerClient) },
            .destination = service.address,
            .sourcePort = static_cast<std::uint16_t>(firstPort + flow % portsPerClient),
            .destinationPort = service.port,
            .protocol = service.protocol };
        packets.push_back(fakes::buildTcpPacket(key, { .ack = true }, Bytes(options.payloadBytes)));
    }
    return packets;
}

void sendLoad(const Ipv4Endpoint& to, const std::vector<Bytes>& packets, std::size_t first, std::atomic<bool>& stopped)
{
    const UdpSocket socket = bindSocket({ loopback, 0 }, false);
    SendBatch batch;
    for (std::size_t next = first; !stopped; ++next) {
        batch.add(to, packets[next % packets.size()]);
        if (batch.full())
            batch.send(socket.descriptor());
    }
}

// Packets a second that a device sends on under full load.
double measure(const Device& device, const Sinks& sinks, const std::vector<Bytes>& packets, const LoadOptions& options)
{
    std::atomic<bool> stopped { false };
    std::vector<std::thread> senders;
    for (std::size_t index = 0; index < options.senders; ++index) {
        const std::size_t first = index * packets.size() / options.senders;
        senders.emplace_back([&, first] { sendLoad(device.endpoint(), packets, first, stopped); });
    }
    std::this_thread::sleep_for(warmUp);
    const std::uint64_t before = sinks.received();
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(options.duration);
    const std::uint64_t after = sinks.received();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    stopped = true;
    for (std::thread& sender : senders)
        sender.join();
    return static_cast<double>(after - before) / elapsed.count();
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void compare(const LoadOptions& options, std::size_t repetitions)
{
    const std::vector<Bytes> packets = makePackets(options);
    std::vector<double> ratios;
    for (std::size_t repetition = 0; repetition < repetitions; ++repetition) {
        const Sinks sinks;
        const double bare = measure(BareLoop(options, sinks), sinks, packets, options);
        const double balancer = measure(PacketPath(options, sinks), sinks, packets, options);
        ratios.push_back(balancer / bare);
        std::cout << "bare " << static_cast<std::uint64_t>(bare) << " packets/s, balancer "
                  << static_cast<std::uint64_t>(balancer) << " packets/s, ratio " << ratios.back() << std::endl;
    }
    std::cout << "median ratio " << median(ratios) << ", least " << *std::min_element(ratios.begin(), ratios.end())
              << ", most " << *std::max_element(ratios.begin(), ratios.end()) << std::endl;
}

} // namespace

int main(int argc, char* argv[])
{
    cxxopts::Options options("anvilwalk_throughput", "Packet rate of the packet path against a bare loop.");
    options.add_options()("repetitions", "pairs of runs", cxxopts::value<std::size_t>()->default_value("7"))(
        "seconds", "time of each run", cxxopts::value<double>()->default_value("2"))(
        "threads", "threads of the device under test", cxxopts::value<std::size_t>()->default_value("1"))(
        "senders", "threads that send", cxxopts::value<std::size_t>()->default_value("2"))(
        "flows", "flows", cxxopts::value<std::size_t>()->default_value("100000"))(
        "payload", "TCP payload of each packet", cxxopts::value<std::size_t>()->default_value("100"))("help", "help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        const std::chrono::duration<double> seconds(arguments["seconds"].as<double>());
        compare({ .flows = arguments["flows"].as<std::size_t>(),
                    .payloadBytes = arguments["payload"].as<std::size_t>(),
                    .senders = arguments["senders"].as<std::size_t>(),
                    .duration = std::chrono::duration_cast<std::chrono::milliseconds>(seconds),
                    .threads = arguments["threads"].as<std::size_t>() },
            arguments["repetitions"].as<std::size_t>());
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
