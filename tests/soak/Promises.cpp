#include "Promises.h"

#include <fmt/format.h>

namespace anvilwalk::soak {

namespace {

    constexpr std::array<std::string_view, promiseCount> promiseNames { "flow_kept", "flow_on_its_host",
        "right_service", "runs_once", "refused_not_run", "packets_unchanged", "drain_bound", "config_bound",
        "config_rises", "balancers_run", "recovery" };

    std::string nameOf(const FlowKey& key)
    {
        return fmt::format(
            "{}:{}>{}:{}", key.source.toString(), key.sourcePort, key.destination.toString(), key.destinationPort);
    }

} // namespace

std::string_view toString(Promise promise) { return promiseNames[static_cast<std::size_t>(promise)]; }

Promises::Promises(const PromiseBounds& bounds, SoakTime start)
    : m_bounds(bounds)
    , m_start(start)
    , m_storeDisturbed(start)
{
}

void Promises::breach(Promise promise, SoakTime now, std::string what)
{
    const double seconds = std::chrono::duration<double>(now - m_start).count();
    m_breaches.push_back({ .promise = promise, .seconds = seconds, .what = std::move(what) });
}

void Promises::noteDisturbed(BalancerRun run, SoakTime now) { m_disturbed[run] = now; }

void Promises::noteStoreDisturbed(SoakTime now) { m_storeDisturbed = now; }

bool Promises::inTouch(BalancerRun run, SoakTime now) const
{
    const auto found = m_disturbed.find(run);
    return found != m_disturbed.end() && now - found->second >= m_bounds.stableWindow
        && now - m_storeDisturbed >= m_bounds.stableWindow;
}

void Promises::hostEnded(HostRun run)
{
    std::erase_if(m_openFlows, [&](const auto& flow) { return flow.second == run; });
    m_draining.erase(run);
}

void Promises::hostDrains(HostRun run, SoakTime acknowledged) { m_draining[run] = acknowledged; }

void Promises::openingArrived(HostRun host, BalancerRun balancer, SoakTime now)
{
    const auto found = m_draining.find(host);
    if (found == m_draining.end())
        return;
    check(Promise::DrainBound);
    if (inTouch(balancer, now) && now - found->second > m_bounds.drain)
        breach(Promise::DrainBound, now, fmt::format("host run {} gets a new flow", host.value()));
}

void Promises::flowOpened(const FlowKey& key, HostRun host) { m_openFlows[key] = host; }

void Promises::flowClosed(const FlowKey& key) { m_openFlows.erase(key); }

void Promises::packetArrived(const FlowKey& key, HostRun host, SoakTime now)
{
    const auto found = m_openFlows.find(key);
    if (found == m_openFlows.end())
        return;
    check(Promise::FlowOnItsHost);
    if (found->second != host)
        breach(Promise::FlowOnItsHost, now,
            fmt::format(
                "a packet of {} reaches host run {} instead of {}", nameOf(key), host.value(), found->second.value()));
}

void Promises::packetChanged(const std::string& where, SoakTime now)
{
    breach(Promise::PacketsUnchanged, now, "a packet was changed on its way to " + where);
}

void Promises::requestRan(std::uint64_t id, const ServiceName& ranBy, SoakTime now)
{
    check(Promise::PacketsUnchanged);
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        breach(Promise::PacketsUnchanged, now, fmt::format("request {:016x} runs, which nobody sent", id));
        return;
    }
    Request& request = found->second;
    ++request.runs;
    check(Promise::RightService);
    if (request.service != ranBy)
        breach(Promise::RightService, now,
            fmt::format("request {:016x} for {} runs at {}", id, request.service.value(), ranBy.value()));
    check(Promise::RunsOnce);
    if (request.runs > 1 && !request.idempotent)
        breach(Promise::RunsOnce, now, fmt::format("request {:016x} runs again", id));
    if (request.refused)
        breach(Promise::RefusedNotRun, now, fmt::format("request {:016x} runs after its refusal", id));
}

void Promises::requestSent(std::uint64_t id, const ServiceName& service, bool idempotent)
{
    m_requests[id] = { .service = service, .idempotent = idempotent };
}

void Promises::openingRefused(std::uint64_t id, SoakTime now)
{
    check(Promise::RefusedNotRun);
    Request& request = m_requests[id];
    request.refused = true;
    if (request.runs > 0)
        breach(Promise::RefusedNotRun, now, fmt::format("request {:016x} is refused after it ran", id));
}

void Promises::flowReset(const FlowKey& key, SoakTime now)
{
    check(Promise::FlowKept);
    const auto found = m_openFlows.find(key);
    if (found != m_openFlows.end())
        breach(Promise::FlowKept, now,
            fmt::format("flow {} is reset while host run {} lives", nameOf(key), found->second.value()));
}

void Promises::wrongAnswer(std::uint64_t id, SoakTime now)
{
    breach(Promise::PacketsUnchanged, now, fmt::format("request {:016x} gets the answer to another", id));
}

void Promises::unanswered(std::uint64_t id, SoakTime now)
{
    breach(Promise::Recovery, now, fmt::format("request {:016x} is not answered after the recovery", id));
}

void Promises::configAccepted(ConfigVersion version, std::uint16_t addedPort, std::uint16_t droppedPort, SoakTime now)
{
    m_ports[addedPort] = { .addedBy = version, .addedAt = now };
    const auto dropped = m_ports.find(droppedPort);
    if (dropped == m_ports.end())
        return;
    dropped->second.droppedBy = version;
    dropped->second.droppedAt = now;
}

bool Promises::isOverdue(BalancerRun run, SoakTime since, SoakTime sent) const
{
    return inTouch(run, sent) && sent - since > m_bounds.configInForce;
}

void Promises::portForwarded(std::uint16_t port, BalancerRun run, SoakTime sent, SoakTime now)
{
    const auto found = m_ports.find(port);
    if (found == m_ports.end())
        return;
    check(Promise::ConfigBound);
    check(Promise::ConfigRises);
    const Port& state = found->second;
    if (state.droppedBy != ConfigVersion()) {
        if (isOverdue(run, state.droppedAt, sent))
            breach(Promise::ConfigBound, now,
                fmt::format("balancer run {} forwards to dropped port {}", run.value(), port));
        if (m_shown[run] >= state.droppedBy && sent - m_shownAt[run] > m_bounds.rollbackSlack)
            breach(Promise::ConfigRises, now,
                fmt::format("balancer run {} forwards to port {} of an older version", run.value(), port));
    }
    if (state.addedBy > m_shown[run]) {
        m_shown[run] = state.addedBy;
        m_shownAt[run] = now;
    }
}

void Promises::portRefused(std::uint16_t port, BalancerRun run, SoakTime sent, SoakTime now)
{
    const auto found = m_ports.find(port);
    if (found == m_ports.end() || found->second.droppedBy != ConfigVersion())
        return;
    check(Promise::ConfigBound);
    if (isOverdue(run, found->second.addedAt, sent))
        breach(Promise::ConfigBound, now,
            fmt::format("balancer run {} refuses port {} of the configuration", run.value(), port));
    check(Promise::ConfigRises);
    if (m_shown[run] >= found->second.addedBy && sent - m_shownAt[run] > m_bounds.rollbackSlack)
        breach(Promise::ConfigRises, now,
            fmt::format("balancer run {} refuses port {} after it knew it", run.value(), port));
}

void Promises::balancerEnded(const std::string& name, const std::string& how, SoakTime now)
{
    breach(Promise::BalancersRun, now, name + " ended by itself: " + how);
}

} // namespace anvilwalk::soak
