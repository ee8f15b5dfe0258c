#include "TargetHost.h"

#include <algorithm>

namespace anvilwalk::standins {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    // Finished flows stay known for this long, so that late copies of their packets are recognised.
    constexpr std::chrono::seconds flowLinger { 60 };
    constexpr milliseconds healthSampleInterval { 50 };
    constexpr std::size_t maxHealthSamples = 600;
    constexpr std::size_t maxListedOpenings = 1000;
    constexpr int coldFactor = 10;

    bool isOver(const TcpConnection& connection)
    {
        return connection.state() != TcpConnection::State::Opening && connection.state() != TcpConnection::State::Open;
    }

} // namespace

TargetHost::TargetHost(const TargetOptions& options, Time now)
    : m_options(options)
    , m_random(options.seed)
    , m_startedAt(now)
    , m_queue(options.slots, options.queueLimit)
{
    sampleHealth(now);
}

void TargetHost::receive(std::span<const std::uint8_t> packet, Time now)
{
    const auto segment = TcpSegment::parse(packet);
    if (!segment) {
        ++m_malformed;
        return;
    }
    const FlowKey& key = segment->key;
    if (key.destination != m_options.serviceAddress || key.destinationPort != m_options.servicePort) {
        ++m_wrongService;
        return;
    }
    if (segment->syn && !segment->ack && m_draining && m_openingsAfterDrainMs.size() < maxListedOpenings) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - m_drainingSince);
        m_openingsAfterDrainMs.push_back(age.count());
    }
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        receiveUnknown(*segment, now);
        return;
    }
    Flow& flow = found->second;
    const bool newIncarnation
        = segment->syn && isOver(flow.connection) && segment->sequence != flow.connection.peerInitialSequence();
    if (newIncarnation) {
        m_flows.erase(found);
        accept(*segment, now);
        return;
    }
    const auto state = flow.connection.state();
    if ((state == TcpConnection::State::Reset || state == TcpConnection::State::TimedOut) && !segment->syn) {
        countReset(*segment, "flow_over");
        return;
    }
    const auto foreignBefore = flow.connection.foreignSegments();
    flow.connection.receive(*segment, now);
    m_foreignSegments += flow.connection.foreignSegments() - foreignBefore;
    readRequests(flow, now);
    advanceFlow(flow, now);
}

void TargetHost::receiveUnknown(const TcpSegment& segment, Time now)
{
    if (segment.rst)
        return;
    if (segment.syn && !segment.ack) {
        accept(segment, now);
        return;
    }
    if (segment.fin)
        countReset(segment, "unknown_fin");
    else
        countReset(segment, segment.payload.empty() ? "unknown_ack" : "unknown_data");
}

void TargetHost::accept(const TcpSegment& segment, Time now)
{
    ++m_openings;
    const auto [flow, isNew] = m_flows.emplace(segment.key, Flow(TcpConnection(segment, m_random(), now)));
    advanceFlow(flow->second, now);
}

void TargetHost::countReset(const TcpSegment& segment, const std::string& cause)
{
    if (segment.rst)
        return;
    ++m_resets[cause];
    m_output.push_back(resetFor(segment));
}

void TargetHost::readRequests(Flow& flow, Time now)
{
    flow.input += flow.connection.takeReceived();
    while (!flow.input.empty()) {
        if (!flow.upload.is_null()) {
            const auto size = flow.upload.value("bytes", std::size_t { 0 });
            if (flow.input.size() < size)
                return;
            flow.input.erase(0, size);
            startRequest(flow, std::exchange(flow.upload, json()), now);
            continue;
        }
        const auto end = flow.input.find('\n');
        if (end == std::string::npos)
            return;
        const json request = json::parse(flow.input.substr(0, end), nullptr, false);
        flow.input.erase(0, end + 1);
        if (!request.is_object() || !request.contains("id")) {
            ++m_malformed;
            continue;
        }
        if (request.value("kind", "") == "photo")
            flow.upload = request;
        else
            startRequest(flow, request, now);
    }
}

void TargetHost::startRequest(Flow& flow, const json& request, Time now)
{
    flow.request = request;
    const FlowKey key = reversed(flow.connection.key());
    const bool queued = !m_shedding
        && m_queue.add(
            { .flow = key, .id = request["id"].get<std::string>(), .duration = jobDuration(now), .end = {} });
    if (queued) {
        startJobs(now);
        return;
    }
    ++m_refused;
    answer(flow, { { "refused", true } });
}

void TargetHost::answer(Flow& flow, const json& fields)
{
    json line = fields;
    line["id"] = flow.request.value("id", "");
    line["kind"] = flow.request.value("kind", "");
    line["service"] = m_options.service;
    line["host"] = m_options.host;
    flow.connection.send(line.dump() + "\n");
}

void TargetHost::startJobs(Time now)
{
    for (const SlotJob& job : m_queue.startWaiting(now))
        ++m_ran[job.id];
}

void TargetHost::finishJob(const SlotJob& job, Time now)
{
    const auto found = m_flows.find(job.flow);
    if (found == m_flows.end() || isOver(found->second.connection))
        return;
    Flow& flow = found->second;
    const std::string kind = flow.request.value("kind", "");
    if (kind == "stream") {
        flow.streaming = true;
        flow.nextUpdate = 0;
        flow.nextUpdateAt = now;
    } else if (kind == "photo") {
        answer(flow, { { "bytes", flow.request.value("bytes", 0) } });
    } else {
        answer(flow, json::object());
    }
    advanceFlow(flow, now);
}

void TargetHost::advanceFlow(Flow& flow, Time now)
{
    flow.connection.tick(now);
    if (flow.streaming && flow.nextUpdateAt <= now && !flow.connection.peerClosed()) {
        answer(flow, { { "update", flow.nextUpdate++ } });
        flow.nextUpdateAt = now + m_options.streamInterval;
    }
    if (flow.connection.peerClosed())
        flow.connection.close();
    for (TcpSegment& segment : flow.connection.takeSegments(now))
        m_output.push_back(std::move(segment));
    if (flow.finished || !isOver(flow.connection))
        return;
    flow.finished = true;
    flow.finishedAt = now;
    flow.streaming = false;
    if (flow.connection.state() == TcpConnection::State::TimedOut && flow.input.empty() && flow.request.is_null())
        ++m_neverOpened;
    m_queue.cancelWaiting(reversed(flow.connection.key()));
}

void TargetHost::tick(Time now)
{
    for (const SlotJob& job : m_queue.takeFinished(now))
        finishJob(job, now);
    startJobs(now);
    for (auto& [key, flow] : m_flows) {
        if (!flow.finished)
            advanceFlow(flow, now);
    }
    std::erase_if(m_flows,
        [now](const auto& entry) { return entry.second.finished && now - entry.second.finishedAt > flowLinger; });
    if (now - m_samples.back().at >= healthSampleInterval)
        sampleHealth(now);
}

milliseconds TargetHost::jobDuration(Time now) const
{
    const bool cold = now - m_startedAt < m_options.coldTime;
    return cold ? m_options.serviceTime * coldFactor : m_options.serviceTime;
}

std::size_t TargetHost::openFlows() const
{
    return static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(),
        [](const auto& entry) { return entry.second.connection.state() == TcpConnection::State::Open; }));
}

json TargetHost::currentHealth() const
{
    return { { "healthy", true }, { "draining", m_draining }, { "shedding", m_shedding }, { "openFlows", openFlows() },
        { "busySlots", m_queue.busySlots() } };
}

void TargetHost::sampleHealth(Time now)
{
    m_samples.push_back({ now, currentHealth() });
    if (m_samples.size() > maxHealthSamples)
        m_samples.pop_front();
}

json TargetHost::health(Time now) const
{
    json report = currentHealth();
    if (m_lag.count() > 0) {
        report = m_samples.front().report;
        for (const HealthSample& sample : m_samples) {
            if (sample.at <= now - m_lag)
                report = sample.report;
        }
    }
    if (!m_lie.empty())
        report["healthy"] = m_lie == "healthy";
    return report;
}

json TargetHost::control(const json& switches, Time now)
{
    const bool wasDraining = m_draining;
    m_draining = switches.value("draining", m_draining);
    m_shedding = switches.value("shedding", m_shedding);
    m_lag = milliseconds(switches.value("lagMs", static_cast<std::int64_t>(m_lag.count())));
    m_lie = switches.value("lie", m_lie);
    if (m_draining && !wasDraining) {
        m_drainingSince = now;
        m_openingsAfterDrainMs.clear();
    }
    return currentHealth();
}

json TargetHost::ledger() const
{
    return { { "host", m_options.host }, { "service", m_options.service }, { "ran", m_ran }, { "resets", m_resets },
        { "openFlows", openFlows() }, { "openings", m_openings }, { "wrongService", m_wrongService },
        { "openingsAfterDrainMs", m_openingsAfterDrainMs }, { "foreignSegments", m_foreignSegments },
        { "neverOpened", m_neverOpened }, { "refused", m_refused }, { "malformed", m_malformed } };
}

} // namespace anvilwalk::standins
