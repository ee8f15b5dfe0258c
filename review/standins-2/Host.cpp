#include "Lab.h"

#include <array>
#include <boost/endian/conversion.hpp>

namespace lab {

using asio::ip::udp;

namespace {

    constexpr std::size_t prefixBytes = 8;

    std::uint64_t nowMs()
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

} // namespace

Host::Host(Lab& lab, const HostOptions& options, Milliseconds cold)
    : m_lab(lab)
    , m_options(options)
    , m_bornMs(nowMs())
    , m_coldUntil(Clock::now() + cold)
    , m_socket(lab.context())
    , m_random(static_cast<unsigned>(options.key))
{
}

std::string Host::name() const
{
    char text[32];
    std::snprintf(text, sizeof(text), "i-%llx", static_cast<unsigned long long>(m_options.key));
    return text;
}

bool Host::open()
{
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.bind(udp::endpoint(asio::ip::make_address(m_options.address), hostPort), error);
    if (error)
        return false;
    announce();
    asio::co_spawn(m_lab.context(), receive(), asio::detached);
    asio::co_spawn(m_lab.context(), heartbeat(), asio::detached);
    for (unsigned slot = 0; slot < m_options.slots; ++slot)
        asio::co_spawn(m_lab.context(), work(), asio::detached);
    return true;
}

void Host::becomeCold(Milliseconds time)
{
    m_coldUntil = Clock::now() + time;
    announce();
}

void Host::drain()
{
    m_draining = true;
    announce();
}

void Host::writeAgain()
{
    m_written = nullptr;
    announce();
}

void Host::announce()
{
    const auto cold = std::max(std::chrono::duration_cast<Milliseconds>(m_coldUntil - Clock::now()), Milliseconds(0));
    json entry = { { "service", m_options.service }, { "address", m_options.address + ":" + std::to_string(hostPort) },
        { "zone", m_options.zone }, { "version", "v1" }, { "slots", m_options.slots }, { "state", state() },
        { "cold_remaining_ms", cold.count() }, { "born", m_bornMs } };
    if (entry == m_written)
        return;
    m_written = entry;
    entry["sequence"] = ++m_sequence;
    m_lab.store().put("servers", name(), entry);
}

asio::awaitable<void> Host::heartbeat()
{
    for (;;) {
        co_await m_lab.sleep(Milliseconds(heartbeatMs));
        announce();
    }
}

asio::awaitable<void> Host::receive()
{
    std::array<char, 2048> buffer {};
    for (;;) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = co_await m_socket.async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error || size < prefixBytes)
            continue;
        const std::uint64_t intended
            = boost::endian::load_big_u64(reinterpret_cast<const std::uint8_t*>(buffer.data()));
        if (intended != 0 && intended != m_options.key)
            continue;
        Packet packet;
        if (!decode(buffer.data() + prefixBytes, size - prefixBytes, packet) || packet.sum != sumOf(packet)) {
            m_lab.onForgedPacket("host " + name() + " got a packet that its sender did not write so");
            continue;
        }
        handle(packet, sender.address().to_v4().to_uint());
    }
}

void Host::handle(const Packet& packet, std::uint32_t balancer)
{
    const FlowKey key { packet.source, packet.sourcePort, packet.destination, packet.destinationPort };
    if ((packet.flags & Rst) != 0) {
        m_flows.erase(key);
        return;
    }
    if ((packet.flags & Syn) != 0) {
        auto [found, isNew] = m_flows.try_emplace(key);
        Flow& flow = found->second;
        if (isNew) {
            flow.sequence = m_random();
            flow.nextToClient = flow.sequence + 1;
            flow.echo = packet.echo;
            flow.openedThrough = balancer;
            flow.copy = packet.acknowledgement;
            flow.openingArrived = Clock::now();
            flow.nextFromClient = packet.sequence + 1;
        }
        send(key, Syn | Ack, flow.sequence, packet.sequence + 1, flow.echo);
        return;
    }
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        // It holds no such flow.
        if ((packet.flags & Fin) != 0)
            send(key, Ack, packet.acknowledgement, packet.sequence + 1, packet.echo);
        else if (!packet.data.empty())
            send(key, Rst, packet.acknowledgement, packet.sequence, packet.echo);
        return;
    }
    Flow& flow = found->second;
    flow.echo = packet.echo;
    flow.open = true;
    if (!packet.data.empty())
        handleRequest(key, flow, packet);
    if ((packet.flags & Fin) != 0) {
        send(key, Fin | Ack, flow.nextToClient, packet.sequence + 1, flow.echo);
        m_flows.erase(found);
    }
}

void Host::handleRequest(const FlowKey& key, Flow& flow, const Packet& packet)
{
    if (packet.sequence != flow.nextFromClient) {
        // A repeated packet; its answer may be lost.
        if (flow.working == 0 && !flow.response.empty())
            send(key, Ack, flow.nextToClient - static_cast<std::uint32_t>(flow.response.size()), flow.nextFromClient,
                flow.echo, flow.response);
        return;
    }
    flow.nextFromClient += static_cast<std::uint32_t>(packet.data.size());
    const auto attempt = m_lab.findTry(key);
    if (attempt == nullptr) {
        m_lab.onForgedPacket("host " + name() + " got a request that no client sent");
        return;
    }
    attempt->accepted = true;
    flow.working = attempt->id;
    if (attempt->requestsBefore == 0)
        m_lab.onArrival({ .id = attempt->id,
            .host = name(),
            .hostZone = m_options.zone,
            .service = m_options.service,
            .route = attempt->route,
            .balancer = m_lab.balancerName(flow.openedThrough),
            .sent = attempt->copiesSent.at(std::min<std::size_t>(flow.copy, attempt->copiesSent.size() - 1)),
            .arrived = flow.openingArrived,
            .hostCold = flow.openingArrived < m_coldUntil });
    m_queue.push_back(key);
}

bool Host::worksOn(const FlowKey& key) const
{
    const auto found = m_flows.find(key);
    return found != m_flows.end() && found->second.working != 0;
}

asio::awaitable<void> Host::work()
{
    for (;;) {
        if (m_queue.empty()) {
            co_await m_lab.sleep(Milliseconds(2));
            continue;
        }
        const FlowKey key = m_queue.front();
        m_queue.pop_front();
        Milliseconds time = m_options.work;
        if (isCold() && m_options.coldPerSecond > 0)
            time = Milliseconds(static_cast<int>(1000 * m_options.slots / m_options.coldPerSecond));
        co_await m_lab.sleep(time);
        const auto found = m_flows.find(key);
        if (found == m_flows.end())
            continue;
        Flow& flow = found->second;
        flow.working = 0;
        flow.response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        send(key, Ack, flow.nextToClient, flow.nextFromClient, flow.echo, flow.response);
        flow.nextToClient += static_cast<std::uint32_t>(flow.response.size());
    }
}

void Host::send(const FlowKey& key, std::uint8_t flags, std::uint32_t sequence, std::uint32_t ack, std::uint32_t echo,
    const std::string& data)
{
    const auto& [client, clientPort, service, servicePort] = key;
    Packet packet { .destination = client,
        .source = service,
        .destinationPort = clientPort,
        .sourcePort = servicePort,
        .sequence = sequence,
        .acknowledgement = ack,
        .flags = flags,
        .echo = echo,
        .data = data };
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(encode(packet)), udp::endpoint(asio::ip::address_v4(client), packetsPort), 0, error);
}

} // namespace lab
