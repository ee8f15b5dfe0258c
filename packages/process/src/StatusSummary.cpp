#include <anvilwalk/process/StatusSummary.h>

#include <algorithm>
#include <map>

namespace anvilwalk {

namespace {

    struct TargetTotals {
        std::uint64_t openings = 0;
        std::uint64_t flowsLeft = 0;
    };

    struct ServiceTotals {
        std::uint64_t packets = 0;
        std::uint64_t openFlows = 0;
        std::uint64_t openings = 0;
        std::uint64_t refused = 0;
        std::uint64_t dropped = 0;
        std::uint64_t relayed = 0;
        std::map<std::uint32_t, TargetTotals> targets;
    };

    const char* memberStateName(peer::MemberState state)
    {
        switch (state) {
        case peer::MEMBER_STATE_SETTLED:
            return "settled";
        case peer::MEMBER_STATE_LEAVING:
            return "leaving";
        default:
            return "unsettled";
        }
    }

    std::map<std::uint32_t, ServiceTotals> sumServices(const StatusSummaryInput& input)
    {
        std::map<std::uint32_t, ServiceTotals> sums;
        if (input.config) {
            for (const ServiceConfig& service : input.config->services())
                sums[service.id.value()];
        }
        for (const peer::BalancerStatus& balancer : input.balancers) {
            for (const peer::ServiceStatus& service : balancer.services()) {
                ServiceTotals& sum = sums[service.service()];
                sum.packets += service.packets();
                sum.openFlows += service.open_flows();
                sum.openings += service.openings();
                sum.refused += service.refused();
                sum.dropped += service.dropped();
                sum.relayed += service.relayed();
                for (const auto& [target, count] : service.openings_by_target())
                    sum.targets[target].openings += count;
                for (const auto& [target, count] : service.flows_left_by_target())
                    sum.targets[target].flowsLeft += count;
            }
        }
        return sums;
    }

    nlohmann::json encodeTarget(const StatusSummaryInput& input, const TableTarget& target, const TargetTotals& sum)
    {
        nlohmann::json result {
            { "target", target.id.value() },
            { "host", target.host },
            { "leaving", target.leaving },
            { "weight", target.weight },
            { "openings", sum.openings },
            { "openConnections", nullptr },
        };
        if (target.leaving)
            result["flowsLeft"] = sum.flowsLeft;
        const auto report = std::find_if(input.targetReports.begin(), input.targetReports.end(),
            [&](const TargetReport& candidate) { return candidate.target == target.id && candidate.reachable; });
        if (report != input.targetReports.end()) {
            result["openConnections"] = report->openFlows;
            result["healthy"] = report->healthy;
        }
        return result;
    }

    nlohmann::json encodeTargets(const StatusSummaryInput& input, ServiceId service, const ServiceTotals& sum)
    {
        nlohmann::json result = nlohmann::json::array();
        const ServiceSlots* slots = input.table ? input.table->findService(service) : nullptr;
        if (slots == nullptr)
            return result;
        std::map<TargetId, const TableTarget*> ordered;
        for (const auto& [id, target] : slots->targets)
            ordered.emplace(id, &target);
        for (const auto& [id, target] : ordered) {
            const auto found = sum.targets.find(id.value());
            result.push_back(
                encodeTarget(input, *target, found == sum.targets.end() ? TargetTotals {} : found->second));
        }
        return result;
    }

    nlohmann::json encodeServices(const StatusSummaryInput& input)
    {
        nlohmann::json result = nlohmann::json::array();
        for (const auto& [id, sum] : sumServices(input)) {
            const ServiceConfig* config = input.config ? input.config->findById(ServiceId(id)) : nullptr;
            result.push_back({
                { "service", id },
                { "name", config == nullptr ? std::string() : config->name.value() },
                { "packets", sum.packets },
                { "openFlows", sum.openFlows },
                { "openings", sum.openings },
                { "refused", sum.refused },
                { "dropped", sum.dropped },
                { "relayed", sum.relayed },
                { "targets", encodeTargets(input, ServiceId(id), sum) },
            });
        }
        return result;
    }

    nlohmann::json encodeBalancer(const peer::BalancerStatus& balancer)
    {
        return {
            { "balancer", balancer.balancer() },
            { "incarnation", balancer.incarnation() },
            { "state", memberStateName(balancer.state()) },
            { "tableVersion", balancer.table_version() },
            { "configVersion", balancer.config_version() },
            { "controlBytesSent", balancer.control_bytes_sent() },
            { "uptimeSeconds", balancer.uptime_seconds() },
        };
    }

    nlohmann::json sumDrops(const StatusSummaryInput& input)
    {
        std::map<std::string, std::uint64_t> drops;
        for (const peer::BalancerStatus& balancer : input.balancers) {
            for (const auto& [reason, count] : balancer.drops())
                drops[reason] += count;
        }
        return drops;
    }

} // namespace

nlohmann::json summarizeStatus(const StatusSummaryInput& input)
{
    nlohmann::json balancers = nlohmann::json::array();
    for (const peer::BalancerStatus& balancer : input.balancers)
        balancers.push_back(encodeBalancer(balancer));
    nlohmann::json missing = nlohmann::json::array();
    for (const BalancerId& id : input.missingBalancers)
        missing.push_back(id.value());
    return {
        { "dataCentre", input.dataCentre.value() },
        { "writer", input.writer.value() },
        { "writtenAtUnixMs", input.writtenAtUnixMs },
        { "tableVersion", input.table ? input.table->version().value() : 0 },
        { "configVersion", input.config ? input.config->version().value() : 0 },
        { "balancers", std::move(balancers) },
        { "missingBalancers", std::move(missing) },
        { "services", encodeServices(input) },
        { "drops", sumDrops(input) },
    };
}

} // namespace anvilwalk
