#include "Host.h"

#include "Delay.h"

#include <fmt/format.h>

namespace anvilwalk::soak {

namespace {

    constexpr std::uint32_t slotsSaid = 3;

} // namespace

Host::Host(boost::asio::io_context& context, const HostOptions& options, HostRun run, Promises& promises,
    const BalancerLinks& links)
    : m_context(context)
    , m_options(options)
    , m_run(run)
    , m_promises(promises)
    , m_links(links)
    , m_socket(context, options.endpoint,
          [this](std::span<const std::uint8_t> bytes, const Ipv4Endpoint& sender) { receive(bytes, sender); })
{
}

Host::~Host() { m_promises.hostEnded(m_run); }

std::string Host::name() const { return fmt::format("i-{:x}", m_options.key); }

nlohmann::json Host::entry() const
{
    return { { "service", m_options.service.value() }, { "address", m_options.endpoint.toString() },
        { "zone", m_options.dataCentre }, { "version", "v1" }, { "slots", slotsSaid },
        { "state", m_draining ? "draining" : "ready" }, { "cold_remaining_ms", 0 }, { "sequence", 1 },
        { "born", m_options.bornMs } };
}

void Host::receive(std::span<const std::uint8_t> bytes, const Ipv4Endpoint& sender)
{
    if (m_dark || !m_links.reachesHosts(sender) || bytes.size() < hostPrefixBytes)
        return;
    const std::uint64_t intended = readHostPrefix(bytes);
    if (intended != 0 && intended != m_options.key)
        return;
    const auto packet = decode(bytes.subspan(hostPrefixBytes));
    if (!packet || packet->checksum != checksumOf(*packet)) {
        m_promises.packetChanged(name(), std::chrono::steady_clock::now());
        return;
    }
    if (packet->has(Syn))
        handleOpening(*packet, sender);
    else
        handlePacket(*packet);
}

void Host::handleOpening(const WirePacket& packet, const Ipv4Endpoint& sender)
{
    m_promises.openingArrived(m_run, m_links.runAt(sender), std::chrono::steady_clock::now());
    Flow& flow = m_flows[packet.clientFlow()];
    if (flow.hostSequence == 0)
        flow.hostSequence = static_cast<std::uint32_t>(hashText(name(), packet.sequence)) | 1U;
    flow.token = packet.token;
    send(packet.clientFlow(), flow, Syn | Ack);
}

void Host::handlePacket(const WirePacket& packet)
{
    const FlowKey key = packet.clientFlow();
    m_promises.packetArrived(key, m_run, std::chrono::steady_clock::now());
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        refuse(packet);
        return;
    }
    Flow& flow = found->second;
    if (!flow.open) {
        // The handshake's end names the opening answer of the host that the client chose.
        if (packet.acknowledgement != flow.hostSequence + 1)
            return;
        flow.open = true;
        m_promises.flowOpened(key, m_run);
    }
    if (packet.has(Reset) || packet.has(Fin)) {
        if (packet.has(Fin))
            send(key, flow, Ack | Fin);
        m_promises.flowClosed(key);
        m_flows.erase(found);
        return;
    }
    if (!packet.payload.empty())
        handleRequest(flow, packet);
}

void Host::handleRequest(Flow& flow, const WirePacket& packet)
{
    const FlowKey key = packet.clientFlow();
    if (packet.sequence == flow.lastRequestSequence) {
        // The client repeats its request; the answer may be lost.
        if (flow.answered)
            answer(flow, key);
        return;
    }
    // A late copy of an earlier request.
    if (flow.lastRequest != 0 && static_cast<std::int32_t>(packet.sequence - flow.lastRequestSequence) < 0)
        return;
    flow.lastRequestSequence = packet.sequence;
    flow.lastRequest = requestIdIn(packet.payload);
    flow.answered = false;
    const auto now = std::chrono::steady_clock::now();
    m_promises.requestRan(flow.lastRequest, m_options.service, now);
    if (m_runsTwice)
        m_promises.requestRan(flow.lastRequest, m_options.service, now);
    runAfter(m_context, m_options.work, [this, alive = std::weak_ptr<int>(m_alive), key, id = flow.lastRequest] {
        if (!alive.expired())
            finishRequest(key, id);
    });
}

void Host::finishRequest(const FlowKey& key, std::uint64_t id)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end() || found->second.lastRequest != id || m_dark)
        return;
    found->second.answered = true;
    answer(found->second, key);
}

void Host::answer(Flow& flow, const FlowKey& key)
{
    // A host that drains closes each flow after its next response.
    flow.finSent = flow.finSent || m_draining;
    send(key, flow, static_cast<std::uint8_t>(flow.finSent ? Ack | Fin : Ack), responseText(flow.lastRequest));
}

void Host::send(const FlowKey& key, const Flow& flow, std::uint8_t flags, std::string payload)
{
    const bool opening = (flags & Syn) != 0;
    const WirePacket packet { .source = key.destination,
        .destination = key.source,
        .sourcePort = key.destinationPort,
        .destinationPort = key.sourcePort,
        .flags = flags,
        .token = flow.token,
        .sequence = opening ? flow.hostSequence : flow.hostSequence + 1,
        .acknowledgement = flow.lastRequestSequence,
        .payload = std::move(payload) };
    m_socket.send(encode(packet), { .address = key.source, .port = SoakNetwork::packetPort });
}

void Host::refuse(const WirePacket& packet)
{
    if (!packet.has(Reset))
        send(packet.clientFlow(), {}, Reset);
}

} // namespace anvilwalk::soak
