#include <anvilwalk/process.h>

namespace anvilwalk {

using nlohmann::json;

namespace {

    // Returns a member of an object; null if the value is not an object or has no such member.
    const json& findMember(const json& object, const char* key)
    {
        static const json null;
        const auto found = object.is_object() ? object.find(key) : object.end();
        return object.is_object() && found != object.end() ? *found : null;
    }

    std::optional<std::uint64_t> findUnsigned(const json& object, const char* key)
    {
        const json& value = findMember(object, key);
        if (value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0))
            return value.get<std::uint64_t>();
        return std::nullopt;
    }

    std::uint64_t readUnsigned(const json& object, const char* key, std::uint64_t defaultValue = 0)
    {
        return findUnsigned(object, key).value_or(defaultValue);
    }

    std::string readString(const json& object, const char* key)
    {
        const json& value = findMember(object, key);
        return value.is_string() ? value.get<std::string>() : "";
    }

    bool readBool(const json& object, const char* key, bool defaultValue)
    {
        const json& value = findMember(object, key);
        return value.is_boolean() ? value.get<bool>() : defaultValue;
    }

    TargetStatus decodeTarget(const json& value)
    {
        return { .host = readString(value, "host"),
            .leaving = readBool(value, "leaving", false),
            .healthy = readBool(value, "healthy", true),
            .weight = static_cast<std::uint32_t>(readUnsigned(value, "weight", 1000)),
            .openConnections = findUnsigned(value, "openConnections"),
            .flowsLeft = readUnsigned(value, "flowsLeft") };
    }

    ServiceSummary decodeService(const json& value)
    {
        ServiceSummary service { .name = ServiceName(readString(value, "name")),
            .openFlows = readUnsigned(value, "openFlows"),
            .openings = readUnsigned(value, "openings"),
            .refused = readUnsigned(value, "refused"),
            .dropped = readUnsigned(value, "dropped"),
            .relayed = readUnsigned(value, "relayed"),
            .targets = {} };
        for (const json& target : findMember(value, "targets"))
            service.targets.push_back(decodeTarget(target));
        // The name is empty if the writer's configuration does not contain the service yet; its id identifies it then.
        if (service.name.value().empty())
            service.name = ServiceName("service " + std::to_string(readUnsigned(value, "service")));
        return service;
    }

} // namespace

Result<DataCentreStatus> decodeStatus(const json& spec)
{
    const json& writtenAt = findMember(spec, "writtenAtUnixMs");
    DataCentreStatus status { .dataCentre = DataCentreId(readString(spec, "dataCentre")),
        .writtenAtUnixMs = writtenAt.is_number_integer() ? writtenAt.get<std::int64_t>() : 0,
        .balancers = {},
        .missingBalancers = {},
        .services = {} };
    if (status.dataCentre.value().empty() || status.writtenAtUnixMs <= 0)
        return Error { .code = ErrorCode::InvalidArgument,
            .message = "status object has no valid dataCentre or writtenAtUnixMs" };
    for (const json& value : findMember(spec, "balancers")) {
        status.balancers.push_back({ .id = BalancerId(readString(value, "balancer")),
            .state = readString(value, "state"),
            .configVersion = ConfigVersion(readUnsigned(value, "configVersion")),
            .tableVersion = TableVersion(readUnsigned(value, "tableVersion")) });
    }
    for (const json& value : findMember(spec, "missingBalancers")) {
        if (value.is_string())
            status.missingBalancers.emplace_back(value.get<std::string>());
    }
    for (const json& value : findMember(spec, "services"))
        status.services.push_back(decodeService(value));
    return status;
}

} // namespace anvilwalk
