#include "Caller.h"

#include "Delay.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <set>

namespace anvilwalk::soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    // Waits after the opening packet and its two copies.
    constexpr std::array openingWaits { 200ms, 400ms, 800ms };
    constexpr std::chrono::milliseconds firstRepeat { 200 };
    constexpr std::chrono::milliseconds longestRepeat { 1600 };
    constexpr std::chrono::milliseconds requestDeadline { 3000 };
    constexpr std::chrono::milliseconds longestPause { 400 };
    constexpr std::chrono::milliseconds retryPause { 100 };
    constexpr int tries = 3;

} // namespace

struct Caller::Flow {
    explicit Flow(asio::io_context& context)
        : wake(context)
    {
    }

    FlowKey key;
    std::uint32_t sequence = 1;
    std::uint32_t token = 0;
    std::uint32_t hostSequence = 0;
    bool open = false;
    bool reset = false;
    bool finished = false;
    // Bytes of answers that were received.
    std::uint32_t received = 0;
    std::uint64_t answeredRequest = 0;
    // Requests that were sent on this flow.
    std::set<std::uint64_t> requests;
    // Cancelled when something has arrived.
    asio::steady_timer wake;
};

Caller::Caller(asio::io_context& context, const CallerOptions& options, Promises& promises, PacketSink& network)
    : m_context(context)
    , m_options(options)
    , m_promises(promises)
    , m_network(network)
    , m_random(options.seed)
    , m_socket(context, options.endpoint,
          [this](std::span<const std::uint8_t> bytes, const Ipv4Endpoint&) { receive(bytes); })
{
}

Caller::~Caller() = default;

void Caller::addUser(const UserHabit& habit) { asio::co_spawn(m_context, runUser(habit), asio::detached); }

void Caller::sendFrom(std::span<const std::uint8_t> bytes, const Ipv4Endpoint& balancer)
{
    m_socket.send(bytes, balancer);
}

asio::awaitable<void> Caller::runUser(UserHabit habit)
{
    std::uniform_int_distribution<int> pauses(1, static_cast<int>(longestPause.count()));
    while (!m_stopping) {
        FlowPointer flow;
        for (std::uint32_t request = 0; request < habit.requestsPerFlow && !m_stopping; ++request) {
            co_await pauseFor(m_context, std::chrono::milliseconds(pauses(m_random)));
            co_await makeRequest(habit, flow);
            if (flow && (flow->finished || flow->reset))
                closeFlow(flow);
        }
        closeFlow(flow);
    }
}

asio::awaitable<void> Caller::makeRequest(UserHabit habit, FlowPointer& flow)
{
    const bool expected = m_expectsAnswers;
    std::uint64_t id = 0;
    for (int attempt = 0; attempt < tries; ++attempt) {
        id = nextId();
        m_promises.requestSent(id, habit.service, habit.idempotent);
        const Outcome outcome = co_await tryOnce(habit, flow, id);
        if (outcome == Outcome::Answered) {
            ++m_counts.answered;
            co_return;
        }
        closeFlow(flow);
        if (outcome == Outcome::Broken && !habit.idempotent)
            break;
        ++m_counts.retried;
        co_await pauseFor(m_context, retryPause);
    }
    ++m_counts.failed;
    if (expected)
        m_promises.unanswered(id, std::chrono::steady_clock::now());
}

asio::awaitable<Caller::Outcome> Caller::tryOnce(UserHabit habit, FlowPointer& flow, std::uint64_t id)
{
    if (!flow) {
        flow = makeFlow(habit.address);
        const bool opened = co_await openFlow(flow, id);
        if (!opened)
            co_return Outcome::NotOpened;
    }
    const bool answered = co_await exchange(flow, id);
    co_return answered ? Outcome::Answered : Outcome::Broken;
}

asio::awaitable<bool> Caller::openFlow(FlowPointer flow, std::uint64_t id)
{
    boost::system::error_code cancelled;
    for (std::uint32_t copy = 0; copy < openingWaits.size() && !flow->open && !flow->reset; ++copy) {
        send(*flow, Syn, {}, copy);
        flow->wake.expires_after(openingWaits[copy]);
        co_await flow->wake.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    if (flow->open)
        co_return true;
    if (flow->reset)
        m_promises.openingRefused(id, std::chrono::steady_clock::now());
    co_return false;
}

asio::awaitable<bool> Caller::exchange(FlowPointer flow, std::uint64_t id)
{
    flow->requests.insert(id);
    const auto deadline = std::chrono::steady_clock::now() + requestDeadline;
    std::chrono::milliseconds repeat = firstRepeat;
    boost::system::error_code cancelled;
    while (flow->answeredRequest != id && !flow->reset && std::chrono::steady_clock::now() < deadline) {
        send(*flow, Ack, requestText(id));
        flow->wake.expires_after(repeat);
        co_await flow->wake.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        repeat = std::min(repeat * 2, longestRepeat);
    }
    if (flow->answeredRequest != id)
        co_return false;
    flow->sequence += static_cast<std::uint32_t>(requestText(id).size());
    send(*flow, Ack);
    co_return true;
}

Caller::FlowPointer Caller::makeFlow(const ServiceAddress& address)
{
    constexpr std::uint16_t firstPort = 1024;
    do {
        m_nextPort = std::max<std::uint16_t>(firstPort, m_nextPort + 1);
    } while (m_flows.contains(m_nextPort));
    auto flow = std::make_shared<Flow>(m_context);
    flow->key = { .source = m_options.endpoint.address,
        .destination = address.address,
        .sourcePort = m_nextPort,
        .destinationPort = address.port };
    flow->sequence = m_random();
    m_flows[m_nextPort] = flow;
    return flow;
}

void Caller::closeFlow(FlowPointer& flow)
{
    if (!flow)
        return;
    if (flow->open && !flow->reset)
        send(*flow, Ack | Fin);
    m_flows.erase(flow->key.sourcePort);
    flow.reset();
}

void Caller::send(const Flow& flow, std::uint8_t flags, std::string payload, std::uint32_t copy)
{
    const bool opening = (flags & Syn) != 0;
    const WirePacket packet { .source = flow.key.source,
        .destination = flow.key.destination,
        .sourcePort = flow.key.sourcePort,
        .destinationPort = flow.key.destinationPort,
        .flags = flags,
        .token = opening ? 0 : flow.token,
        .sequence = opening ? flow.sequence - 1 : flow.sequence,
        .acknowledgement = opening ? copy : flow.hostSequence + 1 + flow.received,
        .payload = std::move(payload) };
    m_network.deliver(m_options.number, flow.key, encode(packet));
}

void Caller::receive(std::span<const std::uint8_t> bytes)
{
    const auto now = std::chrono::steady_clock::now();
    const auto packet = decode(bytes);
    const bool fromBalancer = packet && packet->has(Reset) && packet->checksum == 0;
    if (!packet || (!fromBalancer && packet->checksum != checksumOf(*packet))) {
        m_promises.packetChanged("caller", now);
        return;
    }
    const auto found = m_flows.find(packet->destinationPort);
    if (found == m_flows.end() || found->second->key != packet->hostFlow())
        return;
    Flow& flow = *found->second;
    if (packet->has(Reset)) {
        if (fromBalancer && flow.open)
            m_promises.flowReset(flow.key, now);
        flow.reset = true;
    } else if (packet->has(Syn)) {
        if (flow.open)
            return;
        flow.open = true;
        flow.hostSequence = packet->sequence;
        flow.token = packet->token;
    } else if (!packet->payload.empty()) {
        takeAnswer(flow, *packet);
    } else {
        flow.finished = flow.finished || packet->has(Fin);
        return;
    }
    flow.wake.cancel();
}

void Caller::takeAnswer(Flow& flow, const WirePacket& packet)
{
    const std::uint64_t id = requestIdIn(packet.payload);
    if (!flow.requests.contains(id))
        m_promises.wrongAnswer(id, std::chrono::steady_clock::now());
    // A copy of an earlier answer is not an answer to a later request.
    if (id > flow.answeredRequest) {
        flow.answeredRequest = id;
        flow.received += static_cast<std::uint32_t>(packet.payload.size());
    }
    flow.finished = flow.finished || packet.has(Fin);
}

std::uint64_t Caller::nextId()
{
    constexpr unsigned callerShift = 40;
    return (static_cast<std::uint64_t>(m_options.number + 1) << callerShift) + ++m_requests;
}

} // namespace anvilwalk::soak
