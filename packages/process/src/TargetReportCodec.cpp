#include <anvilwalk/process/TargetReportCodec.h>

#include <nlohmann/json.hpp>

namespace anvilwalk {

namespace {

    constexpr unsigned httpOk = 200;
    constexpr unsigned httpServiceUnavailable = 503;

    bool readBool(const nlohmann::json& body, const char* key)
    {
        const auto found = body.find(key);
        return found != body.end() && found->is_boolean() && found->get<bool>();
    }

    std::uint32_t readCount(const nlohmann::json& body, const char* key)
    {
        const auto found = body.find(key);
        return found != body.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
    }

} // namespace

TargetReport decodeTargetReport(TargetId target, unsigned httpStatus, std::string_view body)
{
    const TargetReport unreachable { .target = target };
    if (httpStatus != httpOk && httpStatus != httpServiceUnavailable)
        return unreachable;
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object() || !json.contains("healthy") || !json["healthy"].is_boolean())
        return unreachable;
    return {
        .target = target,
        .reachable = true,
        .healthy = httpStatus == httpOk && readBool(json, "healthy"),
        .draining = readBool(json, "draining"),
        .shedding = readBool(json, "shedding"),
        .openFlows = readCount(json, "openFlows"),
        .busySlots = readCount(json, "busySlots"),
    };
}

} // namespace anvilwalk
