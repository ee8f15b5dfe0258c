#include <anvilwalk/process.h>

namespace anvilwalk {

using nlohmann::json;

namespace {

    // A member of an object, or null.
    const json& memberOf(const json& object, const char* key)
    {
        static const json null;
        const auto found = object.is_object() ? object.find(key) : object.end();
        return object.is_object() && found != object.end() ? *found : null;
    }

    std::optional<std::uint64_t> findNumber(const json& object, const char* key)
    {
        const json& value = memberOf(object, key);
        if (value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0))
            return value.get<std::uint64_t>();
        return std::nullopt;
    }

    std::uint64_t numberIn(const json& object, const char* key, std::uint64_t fallback = 0)
    {
        return findNumber(object, key).value_or(fallback);
    }

    std::string textIn(const json& object, const char* key)
    {
        const json& value = memberOf(object, key);
        return value.is_string() ? value.get<std::string>() : "";
    }

    bool booleanIn(const json& object, const char* key, bool fallback)
    {
        const json& value = memberOf(object, key);
        return value.is_boolean() ? value.get<bool>() : fallback;
    }

    TargetStatus decodeTarget(const json& value)
    {
        return { .host = textIn(value, "host"),
            .leaving = booleanIn(value, "leaving", false),
            .healthy = booleanIn(value, "healthy", true),
            .weight = static_cast<std::uint32_t>(numberIn(value, "weight", 1000)),
            .openConnections = findNumber(value, "openConnections"),
            .flowsLeft = numberIn(value, "flowsLeft") };
    }

    ServiceTotals decodeService(const json& value)
    {
        ServiceTotals service { .name = ServiceName(textIn(value, "name")),
            .openFlows = numberIn(value, "openFlows"),
            .openings = numberIn(value, "openings"),
            .refused = numberIn(value, "refused"),
            .dropped = numberIn(value, "dropped"),
            .relayed = numberIn(value, "relayed"),
            .targets = {} };
        for (const json& target : memberOf(value, "targets"))
            service.targets.push_back(decodeTarget(target));
        // A service that the writer's configuration does not name yet has only its number.
        if (service.name.value().empty())
            service.name = ServiceName("service " + std::to_string(numberIn(value, "service")));
        return service;
    }

} // namespace

Result<DataCentreStatus> decodeStatus(const json& spec)
{
    const json& writtenAt = memberOf(spec, "writtenAtUnixMs");
    DataCentreStatus status { .dataCentre = DataCentreId(textIn(spec, "dataCentre")),
        .writtenAtUnixMs = writtenAt.is_number_integer() ? writtenAt.get<std::int64_t>() : 0,
        .balancers = {},
        .missingBalancers = {},
        .services = {} };
    if (status.dataCentre.value().empty() || status.writtenAtUnixMs <= 0)
        return Error { .code = ErrorCode::InvalidArgument, .message = "the status object is not valid" };
    for (const json& value : memberOf(spec, "balancers")) {
        status.balancers.push_back({ .id = BalancerId(textIn(value, "balancer")),
            .state = textIn(value, "state"),
            .configVersion = ConfigVersion(numberIn(value, "configVersion")),
            .tableVersion = TableVersion(numberIn(value, "tableVersion")) });
    }
    for (const json& value : memberOf(spec, "missingBalancers")) {
        if (value.is_string())
            status.missingBalancers.emplace_back(value.get<std::string>());
    }
    for (const json& value : memberOf(spec, "services"))
        status.services.push_back(decodeService(value));
    return status;
}

} // namespace anvilwalk
