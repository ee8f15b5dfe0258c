#include "WhereAnswer.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace anvilwalk {

namespace {

    using nlohmann::json;

    json ageField(const std::optional<Duration>& age)
    {
        if (!age)
            return nullptr;
        return std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
    }

    json encodeTarget(const TargetExplanation& explanation, MonotonicTime now)
    {
        const Target& target = *explanation.target;
        const auto cold = std::chrono::ceil<std::chrono::milliseconds>(target.coldUntil - now);
        return {
            { "name", target.record.name },
            { "address", target.record.address.toString() },
            { "token", target.token.value() },
            { "data_centre", target.record.dataCentre.value() },
            { "remote", explanation.remote },
            { "rank", toString(explanation.rank) },
            { "reason", toString(explanation.reason) },
            { "may_be_chosen", explanation.share > 0 },
            { "share", explanation.share },
            { "own_load", explanation.ownLoad },
            { "load", explanation.load ? json(*explanation.load) : json() },
            { "slowdown", explanation.slowdown },
            { "slots", target.record.slots },
            { "own_requests", target.activity.requestsInProgress + target.activity.pendingOpenings },
            { "own_open_flows", target.activity.openFlows },
            { "others_requests", target.shared.requestsInProgress },
            { "others_open_flows", target.shared.openFlows },
            { "cold_remaining_ms", std::max(cold, std::chrono::milliseconds(0)).count() },
        };
    }

    json encodeInputs(const PlacementExplanation& explanation, const WhereInputs& inputs)
    {
        json evacuated = json::array();
        for (const DataCentreId& dataCentre : inputs.evacuatedDataCentres)
            evacuated.push_back(dataCentre.value());
        json summary;
        if (explanation.sharedLoad.fresh)
            summary = { { "age_ms", ageField(inputs.now - explanation.sharedLoad.takenAt) },
                { "balancers", explanation.sharedLoad.balancers } };
        return {
            { "config_version", inputs.configVersion.value() },
            { "targets_version", inputs.targetsVersion.value() },
            { "targets_age_ms", ageField(inputs.targetsAge) },
            { "routes_age_ms", ageField(inputs.routesAge) },
            { "evacuations_age_ms", ageField(inputs.evacuationsAge) },
            { "evacuated_data_centres", std::move(evacuated) },
            { "load_summary", std::move(summary) },
        };
    }

} // namespace

std::string encodeWhereAnswer(
    const WhereQuery& query, const PlacementExplanation& explanation, const WhereInputs& inputs)
{
    json targets = json::array();
    for (const TargetExplanation& target : explanation.targets)
        targets.push_back(encodeTarget(target, inputs.now));
    const json answer = {
        { "balancer", inputs.balancer.value() },
        { "data_centre", inputs.dataCentre.value() },
        { "client", query.client.toString() },
        { "service_address", query.service.toString() },
        { "route", explanation.route == nullptr ? json() : json(explanation.route->name) },
        { "priority", explanation.route == nullptr ? json() : json(explanation.route->priority) },
        { "service", explanation.route == nullptr ? json() : json(explanation.service.value()) },
        { "refusal", explanation.refusal ? json(toString(*explanation.refusal)) : json() },
        { "admitted_share", explanation.admittedShare },
        { "inputs", encodeInputs(explanation, inputs) },
        { "targets", std::move(targets) },
    };
    // Names come from the store and may hold bytes that are not UTF-8.
    return answer.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace anvilwalk
