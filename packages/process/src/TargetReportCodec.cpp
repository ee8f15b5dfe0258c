#include <anvilwalk/process/TargetReportCodec.h>

#include <nlohmann/json.hpp>

namespace anvilwalk {

namespace {

    constexpr unsigned httpOk = 200;
    constexpr unsigned httpServiceUnavailable = 503;

    bool flagOf(const nlohmann::json& body, const char* key)
    {
        const auto found = body.find(key);
        return found != body.end() && found->is_boolean() && found->get<bool>();
    }

    std::uint32_t countOf(const nlohmann::json& body, const char* key)
    {
        const auto found = body.find(key);
        return found != body.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
    }

} // namespace

TargetReport readTargetReport(TargetId target, unsigned httpStatus, std::string_view body)
{
    const TargetReport unreadable { .target = target };
    if (httpStatus != httpOk && httpStatus != httpServiceUnavailable)
        return unreadable;
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object() || !json.contains("healthy") || !json["healthy"].is_boolean())
        return unreadable;
    return {
        .target = target,
        .reachable = true,
        .healthy = httpStatus == httpOk && flagOf(json, "healthy"),
        .draining = flagOf(json, "draining"),
        .shedding = flagOf(json, "shedding"),
        .openFlows = countOf(json, "openFlows"),
        .busySlots = countOf(json, "busySlots"),
    };
}

} // namespace anvilwalk
