#include "ServicePlan.h"

namespace anvilwalk {

TablePlanner::TablePlanner(const TablePlannerOptions& options)
    : m_options(options)
{
}

std::optional<table::TableSet> TablePlanner::plan(const TableSnapshotPointer& current, const PlannerInput& input) const
{
    const TableVersion version(current ? current->version().value() + 1 : 1);
    std::uint32_t nextTargetId = current ? current->message().next_target_id() : 1;
    bool changed = !current || current->services().size() != input.config->services().size();
    table::TableSet next;
    for (const ServiceConfig& service : input.config->services()) {
        const ServiceSlots* slots = current ? current->findService(service.id) : nullptr;
        ServicePlan plan(m_options, input, service.id, slots, version, nextTargetId);
        changed = plan.run() || changed;
        *next.add_services() = plan.message();
    }
    // Balancers that learn of the configuration by the table need no write for its own sake.
    if (!changed)
        return std::nullopt;
    next.set_version(version.value());
    next.set_data_centre(input.dataCentre.value());
    next.set_config_version(input.config->version().value());
    next.set_writer(input.writer.value());
    next.set_next_target_id(nextTargetId);
    return next;
}

} // namespace anvilwalk
