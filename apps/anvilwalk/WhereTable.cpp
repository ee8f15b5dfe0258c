#include "WhereTable.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace anvilwalk {

namespace {

    using nlohmann::json;

    std::string formatAge(const json& age)
    {
        if (age.is_null())
            return "unknown";
        return fmt::format("{:.1f} s", age.get<double>() / 1000);
    }

    std::string describeRoute(const json& answer)
    {
        const auto client = answer.at("client").get<std::string>();
        const auto address = answer.at("service_address").get<std::string>();
        std::string text = fmt::format("Balancer {} in {}, connection {} > {}\n",
            answer.at("balancer").get<std::string>(), answer.at("data_centre").get<std::string>(), client, address);
        if (answer.at("route").is_null())
            return text;
        return text
            + fmt::format("Route {}, priority {}, service {}\n", answer.at("route").get<std::string>(),
                answer.at("priority").get<std::uint64_t>(), answer.at("service").get<std::string>());
    }

    std::string describeInputs(const json& inputs)
    {
        std::string text = fmt::format("Configuration {}, age {}; targets of store version {}, age {}\n",
            inputs.at("config_version").get<std::uint64_t>(), formatAge(inputs.at("routes_age_ms")),
            inputs.at("targets_version").get<std::uint64_t>(), formatAge(inputs.at("targets_age_ms")));
        const json& evacuated = inputs.at("evacuated_data_centres");
        if (!inputs.at("evacuations_age_ms").is_null() || !evacuated.empty()) {
            const auto names = evacuated.get<std::vector<std::string>>();
            text += fmt::format("Evacuated: {}, age {}\n",
                names.empty() ? "none" : fmt::format("{}", fmt::join(names, ", ")),
                formatAge(inputs.at("evacuations_age_ms")));
        }
        const json& summary = inputs.at("load_summary");
        if (summary.is_null())
            return text + "Load summary: none; only this balancer's own flows count\n";
        return text
            + fmt::format("Load summary of {} balancers, age {}\n", summary.at("balancers").get<std::uint32_t>(),
                formatAge(summary.at("age_ms")));
    }

    std::string describeRefusal(const std::string& reason)
    {
        if (reason == "unknown_address")
            return "Refused (unknown_address): no route has this service address.\n";
        if (reason == "no_target")
            return "Refused (no_target): no target of the service may get a new flow.\n";
        if (reason == "new_flow_limit")
            return "Refused (new_flow_limit): the service lacks room for flows of this priority.\n";
        if (reason == "stale_state")
            return "Dropped (stale_state): the balancer has no routes yet.\n";
        return "Refused (" + reason + ").\n";
    }

    std::string formatTarget(const json& target)
    {
        const auto reason = target.at("reason").get<std::string>();
        const json& load = target.at("load");
        return fmt::format("{:<20} {:<12} {:<10} {:<17} {:>6.0f}% {:>8.2f} {:>8} {:>8.2f}\n",
            target.at("name").get<std::string>(),
            target.at("data_centre").get<std::string>() + (target.at("remote").get<bool>() ? "*" : ""),
            target.at("rank").get<std::string>(), reason == "none" ? "-" : reason,
            target.at("share").get<double>() * 100, target.at("own_load").get<double>(),
            load.is_null() ? "-" : fmt::format("{:.2f}", load.get<double>()), target.at("slowdown").get<double>());
    }

    std::string formatTargets(json targets)
    {
        if (targets.empty())
            return "";
        std::stable_sort(targets.begin(), targets.end(),
            [](const json& a, const json& b) { return a.at("share").get<double>() > b.at("share").get<double>(); });
        std::string text = fmt::format("\n{:<20} {:<12} {:<10} {:<17} {:>7} {:>8} {:>8} {:>8}\n", "TARGET",
            "DATA CENTRE", "RANK", "REASON", "SHARE", "OWN LOAD", "LOAD", "SLOWDOWN");
        for (const json& target : targets)
            text += formatTarget(target);
        return text + "SHARE is the probability that the connection goes there now. * marks another data centre.\n";
    }

} // namespace

Result<WhereTable> formatWhereAnswer(std::string_view text)
{
    try {
        const json answer = json::parse(text);
        const json& refusal = answer.at("refusal");
        const double admitted = answer.at("admitted_share").get<double>();
        WhereTable table { .text = describeRoute(answer) + describeInputs(answer.at("inputs")),
            .placed = refusal.is_null() };
        if (!table.placed)
            table.text += describeRefusal(refusal.get<std::string>());
        else if (admitted < 1)
            table.text += fmt::format("Admission control lets {:.0f}% of such flows pass.\n", admitted * 100);
        table.text += formatTargets(answer.at("targets"));
        return table;
    } catch (const json::exception& error) {
        return Error { .code = ErrorCode::Internal, .message = error.what() };
    }
}

} // namespace anvilwalk
