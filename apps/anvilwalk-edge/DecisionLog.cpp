#include "DecisionLog.h"

#include <chrono>

namespace anvilwalk {

namespace {

    std::int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

} // namespace

std::string flowName(const FlowKey& key)
{
    const Ipv4Endpoint client { .address = key.source, .port = key.sourcePort };
    const Ipv4Endpoint service { .address = key.destination, .port = key.destinationPort };
    return client.toString() + ">" + service.toString();
}

DecisionLog::DecisionLog(EventLog& log, const PacketFormat& format)
    : m_log(log)
    , m_format(format)
{
}

void DecisionLog::addFlow(const FlowKey& key) { m_log.add("flow", flowName(key)); }

void DecisionLog::addView()
{
    if (m_view == nullptr)
        return;
    m_log.add("view_version", m_view->targetsVersion().value());
    m_log.add("view_age_ms", toMilliseconds(m_view->targetsAge()));
}

void DecisionLog::onPlaced(const PlacementEvent& note)
{
    if (!m_log.admit(EventKind::Placement))
        return;
    const TargetActivity& activity = note.target.activity;
    m_log.begin(EventKind::Placement, note.copy == 0 ? "placed" : "placed_again");
    addFlow(note.flow);
    m_log.add("copy", note.copy);
    m_log.add("target", note.target.record.name);
    m_log.add("token", note.target.token.value());
    m_log.add("candidates", note.candidates);
    m_log.add("requests", activity.requestsInProgress);
    m_log.add("open_flows", activity.openFlows);
    m_log.add("response_ms", toMilliseconds(activity.responseTime));
    addView();
    m_log.end();
}

void DecisionLog::onRefused(const RefusalEvent& note)
{
    if (!m_log.admit(EventKind::Refusal))
        return;
    m_log.begin(EventKind::Refusal, note.reset ? "reset" : "dropped");
    addFlow(note.flow);
    m_log.add("token", note.token.value());
    m_log.add("reason", toString(note.reason));
    addView();
    m_log.end();
}

void DecisionLog::onSuspected(const Target& target, const FlowKey& flow)
{
    if (!m_log.admit(EventKind::Target))
        return;
    m_log.begin(EventKind::Target, "doubted");
    m_log.add("target", target.record.name);
    addFlow(flow);
    m_log.end();
}

void DecisionLog::onRecovered(const Target& target)
{
    m_log.write(EventKind::Target, "trusted", logField("target", std::string_view(target.record.name)));
}

void DecisionLog::onAbsent(const Target& target)
{
    m_log.write(EventKind::Target, target.presence == TargetPresence::Missing ? "missing" : "gone",
        logField("target", std::string_view(target.record.name)), logField("token", target.token.value()),
        logField("version", target.version.value()));
}

void DecisionLog::onResponse(const Target&, Duration time) { m_responses.add(time); }

void DecisionLog::onForwarded(const PacketView& packet, const ForwardToTarget& forward)
{
    const std::string_view request = m_format.requestId(packet);
    if (request.empty() || !m_log.admit(EventKind::Request))
        return;
    m_log.begin(EventKind::Request, "forwarded");
    m_log.add("request", request);
    addFlow(packet.key());
    m_log.add("token", forward.token.value());
    m_log.end();
}

} // namespace anvilwalk
