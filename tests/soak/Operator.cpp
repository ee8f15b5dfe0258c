#include "Operator.h"

#include <random>
#include <utility>

namespace anvilwalk::soak {

namespace {

    using nlohmann::json;

    constexpr std::chrono::milliseconds publishInterval { 1700 };
    constexpr std::chrono::milliseconds probeInterval { 200 };
    constexpr std::size_t portsInForce = 4;
    constexpr int largestStep = 5;

    json routeTo(const ServiceName& service, const Ipv4Address& address, std::uint16_t port)
    {
        const std::string text = std::to_string(port);
        return { { "name", "r-" + text }, { "host", address.toString() }, { "path_prefix", "/" + text + "/" },
            { "route_type", "safe" }, { "timeout_ms", 3000 }, { "target_latency_ms", 200 }, { "priority", 1 },
            { "service", service.value() }, { "max_attempts", 2 } };
    }

} // namespace

Operator::Operator(boost::asio::io_context& context, const OperatorOptions& options, const SoakNetwork& network,
    std::size_t balancers, StoreModel& store, Promises& promises, Fabric& fabric, ProbedRun probedRun,
    CanWrite canWrite)
    : m_options(options)
    , m_endpoint(network.caller(options.caller))
    , m_balancers(balancers)
    , m_store(store)
    , m_promises(promises)
    , m_fabric(fabric)
    , m_probedRun(std::move(probedRun))
    , m_canWrite(std::move(canWrite))
    , m_random(options.seed)
    , m_socket(
          context, m_endpoint, [this](std::span<const std::uint8_t> bytes, const Ipv4Endpoint&) { receive(bytes); })
    , m_publishing(context, publishInterval, [this] { publish(); })
    , m_probing(context, probeInterval, [this] { probe(); })
{
    publish();
}

json Operator::config() const
{
    json routes = json::array();
    for (const SoakService& service : m_options.services)
        routes.push_back(routeTo(service.name, service.address.address, service.address.port));
    for (const std::uint16_t port : m_ports)
        routes.push_back(routeTo(m_options.services.front().name, m_options.services.front().address.address, port));
    return { { "version", m_version }, { "routes", std::move(routes) }, { "services", json::array() },
        { "limits", { { "idle_timeout_ms", 15000 } } } };
}

void Operator::publish()
{
    if (!m_canWrite())
        return;
    m_version += std::uniform_int_distribution<std::uint64_t>(1, largestStep)(m_random);
    m_ports.push_back(m_nextPort++);
    std::uint16_t dropped = 0;
    if (m_ports.size() > portsInForce) {
        dropped = m_ports.front();
        m_ports.pop_front();
        m_droppedPort = dropped;
    }
    if (!m_options.hideConfigs || m_published == 0)
        m_store.put("config", "main", config());
    m_promises.configAccepted(ConfigVersion(m_version), m_ports.back(), dropped, std::chrono::steady_clock::now());
    ++m_published;
}

void Operator::probe()
{
    for (std::size_t balancer = 0; balancer < m_balancers; ++balancer) {
        if (const auto run = m_probedRun(balancer))
            probeBalancer(balancer, *run);
    }
}

void Operator::probeBalancer(std::size_t balancer, BalancerRun run)
{
    constexpr std::uint16_t firstSource = 1024;
    m_nextSource = std::max<std::uint16_t>(firstSource, m_nextSource + 1);
    const bool askDropped = m_droppedPort != 0 && m_random(2) == 0;
    const std::uint16_t port = askDropped ? m_droppedPort : m_ports[m_random(m_ports.size())];
    m_probes[m_nextSource]
        = { .run = run, .balancer = balancer, .port = port, .sent = std::chrono::steady_clock::now() };
    const WirePacket packet { .source = m_endpoint.address,
        .destination = m_options.services.front().address.address,
        .sourcePort = m_nextSource,
        .destinationPort = port,
        .flags = Syn,
        .sequence = m_random() };
    m_fabric.carryTo(balancer, m_options.caller, encode(packet));
}

void Operator::sendFrom(std::span<const std::uint8_t> bytes, const Ipv4Endpoint& balancer)
{
    m_socket.send(bytes, balancer);
}

void Operator::receive(std::span<const std::uint8_t> bytes)
{
    const auto packet = decode(bytes);
    if (!packet)
        return;
    const auto found = m_probes.find(packet->destinationPort);
    if (found == m_probes.end())
        return;
    const Probe probe = found->second;
    m_probes.erase(found);
    const auto now = std::chrono::steady_clock::now();
    if (m_probedRun(probe.balancer) != probe.run)
        return;
    if (packet->has(Syn))
        m_promises.portForwarded(probe.port, probe.run, probe.sent, now);
    else if (packet->has(Reset) && packet->checksum == 0)
        m_promises.portRefused(probe.port, probe.run, probe.sent, now);
}

} // namespace anvilwalk::soak
