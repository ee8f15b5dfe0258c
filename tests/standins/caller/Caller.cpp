#include "Caller.h"

#include <algorithm>

namespace anvilwalk::standins {

using nlohmann::json;
using std::chrono::milliseconds;
using State = TcpConnection::State;

namespace {

    constexpr std::uint16_t firstPort = 10'000;
    constexpr std::uint16_t lastPort = 59'999;
    // Closed flows still acknowledge late packets for this long.
    constexpr milliseconds flowLinger { 3000 };
    constexpr milliseconds retryPause { 1000 };
    // Streams opened at once after a start or a loss; spread, so that a start is no burst of opening packets.
    constexpr milliseconds streamOpenPause { 2 };
    constexpr std::size_t streamsPerTick = 5;
    constexpr double maxFlowCredit = 20;

    const char* const streamKind = "stream";

} // namespace

Caller::Caller(const CallerOptions& options, Time now)
    : m_options(options)
    , m_random(options.seed)
    , m_nextPort(firstPort)
    , m_lastTick(now)
    , m_nextStreamAt(now)
{
}

void Caller::receive(std::span<const std::uint8_t> packet, Time now)
{
    const auto segment = TcpSegment::parse(packet);
    if (!segment) {
        ++m_strayPackets;
        return;
    }
    const auto found = m_flows.find(segment->key.destinationPort);
    if (found == m_flows.end() || found->second.connection.key() != reversed(segment->key)) {
        ++m_strayPackets;
        return;
    }
    Flow& flow = found->second;
    const auto foreignBefore = flow.connection.foreignSegments();
    flow.connection.receive(*segment, now);
    m_foreignSegments += flow.connection.foreignSegments() - foreignBefore;
    readAnswers(flow, now);
    advance(flow, now);
}

void Caller::tick(Time now)
{
    if (!m_finishing)
        openDueFlows(now);
    m_lastTick = now;
    for (auto& [port, flow] : m_flows)
        advance(flow, now);
    std::erase_if(m_flows, [&](const auto& entry) { return isDone(entry.second, now); });
}

void Caller::openDueFlows(Time now)
{
    const std::chrono::duration<double> elapsed = now - m_lastTick;
    m_flowCredit = std::min(m_flowCredit + elapsed.count() * m_options.flowsPerSecond, maxFlowCredit);
    for (; m_flowCredit >= 1; m_flowCredit -= 1)
        openFlow(m_options.kind, "", now);

    std::vector<Refusal> due;
    std::erase_if(m_refusals, [&](const Refusal& refusal) {
        if (refusal.retryAt > now)
            return false;
        due.push_back(refusal);
        return true;
    });
    for (const Refusal& refusal : due)
        openFlow(refusal.kind, refusal.id, now);

    if (now < m_nextStreamAt)
        return;
    const std::size_t open = countStreams();
    const std::size_t missing = m_options.streams > open ? m_options.streams - open : 0;
    for (std::size_t i = 0; i < std::min(missing, streamsPerTick); ++i)
        openFlow(streamKind, "", now);
    m_nextStreamAt = now + streamOpenPause;
}

void Caller::openFlow(const std::string& kind, const std::string& repeatedId, Time now)
{
    while (m_flows.contains(m_nextPort))
        m_nextPort = m_nextPort == lastPort ? firstPort : m_nextPort + 1;
    const std::uint16_t port = m_nextPort;
    m_nextPort = m_nextPort == lastPort ? firstPort : m_nextPort + 1;
    const FlowKey key { .source = m_options.self,
        .destination = m_options.serviceEndpoint.address,
        .sourcePort = port,
        .destinationPort = m_options.serviceEndpoint.port,
        .protocol = Protocol::Tcp };
    Flow& flow = m_flows.emplace(port, Flow(TcpConnection(key, m_random(), now), kind, now)).first->second;
    flow.repeatedId = repeatedId;
    ++m_flowsOpened;
    advance(flow, now);
}

void Caller::advance(Flow& flow, Time now)
{
    flow.connection.tick(now);
    const State state = flow.connection.state();
    if (state != State::Opening && state != State::Open) {
        endFlow(flow, now);
    } else if (state == State::Open && !flow.closing) {
        const bool wantsMore = !m_finishing && flow.requestsSent < m_options.requestsPerFlow;
        const bool isStream = flow.kind == streamKind;
        if (isStream ? m_finishing : flow.awaitedId.empty() && !wantsMore && flow.requestsSent > 0) {
            flow.closing = true;
            flow.connection.close();
        } else if (isStream ? flow.requestsSent == 0 : flow.awaitedId.empty() && now >= flow.nextRequestAt) {
            sendRequest(flow, now);
        }
    }
    checkProgress(flow, now);
    for (TcpSegment& segment : flow.connection.takeSegments(now))
        m_output.push_back(std::move(segment));
}

void Caller::sendRequest(Flow& flow, Time now)
{
    flow.awaitedId = flow.repeatedId.empty() ? nextId(flow.kind) : repeatOf(flow.repeatedId);
    flow.repeatedId.clear();
    ++flow.requestsSent;
    ++m_requests;
    flow.lastSentAt = now;
    const std::size_t bytes = flow.kind == "photo" ? m_options.photoBytes : 0;
    const json request
        = { { "id", flow.awaitedId }, { "kind", flow.kind }, { "service", m_options.service }, { "bytes", bytes } };
    flow.connection.send(request.dump() + "\n");
    if (bytes > 0)
        flow.connection.send(std::string(bytes, 'x'));
}

void Caller::readAnswers(Flow& flow, Time now)
{
    flow.input += flow.connection.takeReceived();
    for (auto end = flow.input.find('\n'); end != std::string::npos; end = flow.input.find('\n')) {
        const json answer = json::parse(flow.input.substr(0, end), nullptr, false);
        flow.input.erase(0, end + 1);
        takeAnswer(flow, answer, now);
    }
}

void Caller::takeAnswer(Flow& flow, const json& answer, Time now)
{
    const bool ownAnswer = answer.is_object() && !flow.awaitedId.empty() && answer.value("id", "") == flow.awaitedId
        && answer.value("service", "") == m_options.service && answer.value("kind", "") == flow.kind;
    if (!ownAnswer) {
        m_misdelivered.push_back(flow.awaitedId + " got " + answer.dump());
        return;
    }
    if (answer.value("refused", false)) {
        refuse(flow, std::exchange(flow.awaitedId, ""), now);
        flow.closing = true;
        flow.connection.close();
        return;
    }
    if (flow.kind == streamKind) {
        if (answer.value("update", std::uint64_t { 0 }) != flow.nextUpdate)
            ++m_streamGaps;
        if (flow.nextUpdate == 0)
            ++m_answered;
        ++flow.nextUpdate;
        ++m_updates;
        return;
    }
    if (flow.kind == "photo" && answer.value("bytes", std::size_t { 0 }) != m_options.photoBytes)
        ++m_wrongSizes;
    ++m_answered;
    m_answeredIds.push_back(std::exchange(flow.awaitedId, ""));
    flow.nextRequestAt = now + randomPause(m_options.thinkTime);
}

void Caller::checkProgress(Flow& flow, Time now)
{
    if (flow.connection.state() != State::Open)
        return;
    const bool awaits = !flow.awaitedId.empty() || flow.connection.hasUnacknowledged() || flow.closing;
    const Time since = std::max(flow.connection.lastProgress(), flow.lastSentAt);
    if (!awaits || now - since < m_options.progressDeadline)
        return;
    breakFlow(flow, flow.closing ? "no_progress_closing" : "no_progress", now);
}

void Caller::endFlow(Flow& flow, Time now)
{
    if (flow.closedAt != Time {})
        return;
    const State state = flow.connection.state();
    const bool opened = flow.requestsSent > 0 || flow.connection.peerInitialSequence() != 0;
    if (state == State::Closed) {
        flow.closedAt = now;
    } else if (opened) {
        breakFlow(flow, state == State::TimedOut ? "no_progress" : flow.closing ? "reset_closing" : "reset", now);
    } else {
        flow.closedAt = now;
        const std::string id = flow.repeatedId.empty() ? nextId(flow.kind) : repeatOf(flow.repeatedId);
        if (state == State::Reset)
            refuse(flow, id, now);
        else
            ++m_notOpened;
    }
}

void Caller::breakFlow(Flow& flow, const std::string& cause, Time now)
{
    if (flow.closedAt != Time {})
        return;
    flow.closedAt = now;
    m_broken.push_back({ .cause = cause,
        .kind = flow.kind,
        .id = flow.awaitedId,
        .port = flow.connection.key().sourcePort,
        .at = now,
        .since = std::max(flow.connection.lastProgress(), flow.lastSentAt),
        .age = std::chrono::duration_cast<milliseconds>(now - flow.openedAt) });
    if (!flow.awaitedId.empty() && flow.kind != streamKind)
        m_unknownIds.push_back(flow.awaitedId);
}

void Caller::refuse(Flow& flow, const std::string& id, Time now)
{
    ++m_refused;
    m_refusedIds.push_back(id);
    if (flow.kind != streamKind && !m_finishing)
        m_refusals.push_back({ .id = id, .kind = flow.kind, .retryAt = now + retryPause });
}

bool Caller::isDone(const Flow& flow, Time now) const
{
    if (flow.closedAt != Time {})
        return m_finishing || now - flow.closedAt >= flowLinger;
    // Without a request under way, a flow that is not open yet is not worth waiting for.
    return m_finishing && flow.connection.state() == State::Opening;
}

std::string Caller::nextId(const std::string& kind)
{
    return m_options.idPrefix + "-" + kind + "-" + std::to_string(m_nextNumber++);
}

std::string Caller::repeatOf(const std::string& id) const
{
    const auto mark = id.find("/r");
    const int attempt = mark == std::string::npos ? 0 : std::stoi(id.substr(mark + 2));
    return id.substr(0, mark) + "/r" + std::to_string(attempt + 1);
}

std::size_t Caller::countStreams() const
{
    return static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), [this](const auto& entry) {
        const Flow& flow = entry.second;
        const bool waitsForRetry
            = flow.closedAt != Time {} && m_lastTick - flow.closedAt < retryPause; // keeps a pause between attempts
        return flow.kind == streamKind && (flow.closedAt == Time {} || waitsForRetry);
    }));
}

milliseconds Caller::randomPause(milliseconds longest)
{
    return milliseconds(m_random(static_cast<std::uint32_t>(longest.count()) + 1));
}

void Caller::control(const json& switches)
{
    m_options.streams = switches.value("streams", m_options.streams);
    m_options.flowsPerSecond = switches.value("flowsPerSecond", m_options.flowsPerSecond);
}

void Caller::finish() { m_finishing = true; }

json Caller::report(Time now, bool withIds) const
{
    const auto epochNow = std::chrono::system_clock::now();
    const auto epochMs = [&](Time time) {
        return std::chrono::duration_cast<milliseconds>((epochNow - (now - time)).time_since_epoch()).count();
    };
    json broken = json::array();
    for (const BrokenFlow& flow : m_broken) {
        broken.push_back({ { "cause", flow.cause }, { "kind", flow.kind }, { "id", flow.id }, { "port", flow.port },
            { "atMs", epochMs(flow.at) }, { "sinceMs", epochMs(flow.since) }, { "ageMs", flow.age.count() } });
    }
    json report = { { "service", m_options.service }, { "flows", m_flowsOpened }, { "requests", m_requests },
        { "answered", m_answered }, { "refused", m_refused }, { "not_opened", m_notOpened },
        { "open_streams", countStreams() }, { "updates", m_updates }, { "broken_flows", broken },
        { "misdelivered", m_misdelivered }, { "stream_gaps", m_streamGaps }, { "wrong_sizes", m_wrongSizes },
        { "stray_packets", m_strayPackets }, { "foreign_segments", m_foreignSegments } };
    if (withIds)
        report["ids"] = { { "answered", m_answeredIds }, { "refused", m_refusedIds }, { "unknown", m_unknownIds } };
    return report;
}

} // namespace anvilwalk::standins
