#include "StatusSource.h"

#include <algorithm>

namespace anvilwalk {

namespace {

    peer::MemberState stateOf(const RoutingState& state)
    {
        if (state.selfLeaving)
            return peer::MEMBER_STATE_LEAVING;
        const auto self = std::find_if(state.members.begin(), state.members.end(),
            [&](const RoutingMember& member) { return member.id == state.self; });
        return self != state.members.end() && self->settled ? peer::MEMBER_STATE_SETTLED : peer::MEMBER_STATE_UNSETTLED;
    }

    void addService(const ServiceCounts& counts, const RoutingState* state, peer::BalancerStatus& status)
    {
        peer::ServiceStatus& service = *status.add_services();
        service.set_service(counts.service.value());
        service.set_packets(counts.packets);
        service.set_openings(counts.openings);
        service.set_refused(counts.refused);
        service.set_dropped(counts.dropped);
        service.set_relayed(counts.relayed);
        service.set_open_flows(counts.openFlows);
        for (const auto& [target, count] : counts.openingsByTarget)
            (*service.mutable_openings_by_target())[target.value()] = count;
        const ServiceSlots* slots
            = state != nullptr && state->table ? state->table->findService(counts.service) : nullptr;
        if (slots == nullptr)
            return;
        for (const auto& [target, count] : counts.openFlowsByTarget) {
            const TableTarget* entry = slots->findTarget(target);
            if (entry != nullptr && entry->leaving)
                (*service.mutable_flows_left_by_target())[target.value()] = count;
        }
    }

} // namespace

StatusSource::StatusSource(const StatusSourceOptions& options)
    : m_options(options)
    , m_start(options.clock.now())
{
}

peer::BalancerStatus StatusSource::status() const
{
    peer::BalancerStatus status;
    status.set_balancer(m_options.balancer.value());
    status.set_incarnation(m_options.incarnation.value());
    const RoutingStatePointer state = m_options.control.routingState();
    if (state) {
        status.set_state(stateOf(*state));
        status.set_table_version(state->table ? state->table->version().value() : 0);
        status.set_config_version(state->config ? state->config->version().value() : 0);
    }
    const RouterCountsSnapshot counts = m_options.router.counters();
    for (const ServiceCounts& service : counts.services)
        addService(service, state.get(), status);
    for (std::size_t index = 0; index < dropReasonCount; ++index) {
        const std::string reason(toString(static_cast<DropReason>(index)));
        if (counts.drops[index] > 0)
            (*status.mutable_drops())[reason] = counts.drops[index];
    }
    status.set_control_bytes_sent(m_options.controlBytesSent());
    const auto uptime = std::chrono::duration_cast<std::chrono::seconds>(m_options.clock.now() - m_start);
    status.set_uptime_seconds(static_cast<std::uint64_t>(uptime.count()));
    return status;
}

MetricsSample StatusSource::metrics() const
{
    MetricsSample sample;
    sample.status = status();
    const RoutingStatePointer state = m_options.control.routingState();
    for (const peer::ServiceStatus& service : sample.status.services()) {
        const ServiceConfig* config
            = state && state->config ? state->config->findById(ServiceId(service.service())) : nullptr;
        sample.serviceNames.push_back(config == nullptr ? std::to_string(service.service()) : config->name.value());
    }
    sample.flowRecords = m_options.flows->size();
    sample.flowCapacity = m_options.flows->capacity();
    sample.sendFailures = m_options.sendFailures();
    sample.ready = m_options.control.ready();
    sample.tableWriter = m_options.control.isTableWriter();
    return sample;
}

} // namespace anvilwalk
