#include "Fabric.h"

#include <anvilwalk/request.h>

#include <iterator>
#include <variant>

namespace anvilwalk::standins {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds lateInterval { 2 };
    constexpr milliseconds pollInterval { 200 };
    constexpr milliseconds readyTimeout { 400 };
    constexpr milliseconds listTimeout { 1000 };
    // Port on which clients send and receive packets.
    constexpr std::uint16_t clientPort = 7000;

} // namespace

Fabric::Fabric(boost::asio::io_context& context, const FabricOptions& options)
    : m_context(context)
    , m_options(options)
    , m_random(options.seed)
    , m_socket(context, options.listen, [this](auto packet, const Ipv4Endpoint& sender) { receive(packet, sender); })
    , m_server(context, options.control, [this](const HttpExchangePointer& exchange) { handle(*exchange); })
    , m_lateTicker(context, lateInterval, [this] { sendLatePackets(); })
    , m_listTicker(context, pollInterval, [this] { pollVmList(); })
    , m_readyTicker(context, pollInterval, [this] { pollReadiness(); })
{
    pollVmList();
}

void Fabric::receive(std::span<const std::uint8_t> packet, const Ipv4Endpoint& sender)
{
    // A client sends from the source address of its packets; all other senders are balancers.
    const auto parsed = PacketView::parse(packet);
    const auto* view = std::get_if<PacketView>(&parsed);
    const bool fromClient = sender.port == clientPort && (view == nullptr || view->key().source == sender.address);
    if (fromClient)
        spray(packet);
    else
        passToClient(packet);
}

void Fabric::passToClient(std::span<const std::uint8_t> packet)
{
    const auto parsed = PacketView::parse(packet);
    const auto* view = std::get_if<PacketView>(&parsed);
    if (view == nullptr) {
        ++m_counts["malformed"];
        return;
    }
    ++m_counts["to_client"];
    m_socket.send(packet, { view->key().destination, clientPort });
}

void Fabric::spray(std::span<const std::uint8_t> packet)
{
    ++m_counts["from_client"];
    if (chance(m_options.faults.lossRate)) {
        ++m_counts["lost"];
        return;
    }
    const int copies = chance(m_options.faults.duplicateRate) ? 2 : 1;
    if (copies == 2)
        ++m_counts["duplicated"];
    for (int i = 0; i < copies; ++i) {
        Balancer* balancer = chooseBalancer();
        if (balancer == nullptr) {
            ++m_counts["no_balancer"];
            return;
        }
        ++balancer->packets;
        sendCopy(packet, balancer->packetEndpoint);
    }
}

void Fabric::sendCopy(std::span<const std::uint8_t> packet, const Ipv4Endpoint& receiver)
{
    if (!chance(m_options.faults.delayRate)) {
        m_socket.send(packet, receiver);
        return;
    }
    ++m_counts["delayed"];
    const milliseconds delay(m_random(static_cast<std::uint32_t>(m_options.faults.maxDelay.count()) + 1));
    m_latePackets.emplace(std::chrono::steady_clock::now() + delay,
        LatePacket { .bytes = { packet.begin(), packet.end() }, .receiver = receiver });
}

Fabric::Balancer* Fabric::chooseBalancer()
{
    if (m_balancers.empty())
        return nullptr;
    std::vector<Balancer*> ready;
    for (auto& [name, balancer] : m_balancers) {
        if (balancer.ready)
            ready.push_back(&balancer);
    }
    if (!ready.empty())
        return ready[m_random(static_cast<std::uint32_t>(ready.size()))];
    ++m_counts["none_ready"];
    m_nextUnready = (m_nextUnready + 1) % m_balancers.size();
    return &std::next(m_balancers.begin(), static_cast<std::ptrdiff_t>(m_nextUnready))->second;
}

bool Fabric::chance(double rate)
{
    constexpr double range = 4294967296.0;
    return rate > 0 && m_random() < rate * range;
}

void Fabric::sendLatePackets()
{
    const auto now = std::chrono::steady_clock::now();
    while (!m_latePackets.empty() && m_latePackets.begin()->first <= now) {
        const LatePacket& late = m_latePackets.begin()->second;
        m_socket.send(late.bytes, late.receiver);
        m_latePackets.erase(m_latePackets.begin());
    }
}

void Fabric::pollVmList()
{
    const HttpUrl url { m_options.platform.endpoint, "/apis/anvilwalk.example/v1/virtualmachines" };
    httpRequest(m_context, "GET", url, "", listTimeout, [this](const HttpResult& result) { takeVmList(result); });
}

void Fabric::takeVmList(const HttpResult& result)
{
    const json list = json::parse(result.body, nullptr, false);
    if (result.status != 200 || !list.is_object())
        return;
    std::map<std::string, Balancer> listed;
    for (const json& item : list["items"]) {
        const json& spec = item["spec"];
        if (spec.value("role", "") != "entry" || spec.value("dataCentre", "") != m_options.dataCentre)
            continue;
        const auto packetEndpoint = Ipv4Endpoint::parse(spec.value("packetAddress", ""));
        const auto readyUrl = HttpUrl::parse(spec.value("readyUrl", ""));
        if (!packetEndpoint || !readyUrl)
            continue;
        const std::string name = item["metadata"].value("name", "");
        const auto known = m_balancers.find(name);
        Balancer balancer = known == m_balancers.end() ? Balancer {} : known->second;
        balancer.packetEndpoint = *packetEndpoint;
        balancer.readyUrl = *readyUrl;
        listed[name] = balancer;
    }
    m_balancers = std::move(listed);
}

void Fabric::pollReadiness()
{
    for (auto& [name, balancer] : m_balancers) {
        if (balancer.asking)
            continue;
        balancer.asking = true;
        httpRequest(m_context, "GET", balancer.readyUrl, "", readyTimeout, [this, id = name](const HttpResult& result) {
            const auto found = m_balancers.find(id);
            if (found == m_balancers.end())
                return;
            found->second.asking = false;
            found->second.ready = result.status == 200;
        });
    }
}

void Fabric::handle(HttpExchange& exchange)
{
    if (exchange.request().path != "/control") {
        exchange.respond(404, R"({"message":"unknown path"})");
        return;
    }
    const std::string& text = exchange.request().body;
    const json body = json::parse(text.empty() ? "{}" : text, nullptr, false);
    if (!body.is_object()) {
        exchange.respond(400, R"({"message":"the body is not a JSON object"})");
        return;
    }
    FabricFaults& faults = m_options.faults;
    faults.lossRate = body.value("lossRate", faults.lossRate);
    faults.duplicateRate = body.value("duplicateRate", faults.duplicateRate);
    faults.delayRate = body.value("delayRate", faults.delayRate);
    faults.maxDelay = milliseconds(body.value("maxDelayMs", static_cast<std::int64_t>(faults.maxDelay.count())));
    exchange.respond(200, describe().dump());
}

json Fabric::describe() const
{
    json balancers = json::object();
    for (const auto& [name, balancer] : m_balancers)
        balancers[name] = { { "ready", balancer.ready }, { "packets", balancer.packets } };
    return { { "balancers", balancers }, { "counts", m_counts } };
}

} // namespace anvilwalk::standins
