#include <anvilwalk/discovery/ViewSnapshot.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace anvilwalk {

namespace {

    using nlohmann::json;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    // Incremented when the meaning of a field changes, so that balancers of different releases reject each other's
    // views instead of misinterpreting them.
    constexpr int formatVersion = 3;

    json encodeService(const WeightedService& service)
    {
        return { { "name", service.service.value() }, { "weight", service.weight } };
    }

    json encodeRoute(const Route& route)
    {
        json services = json::array();
        for (const WeightedService& service : route.services)
            services.push_back(encodeService(service));
        return { { "name", route.name }, { "address", route.address.address.toString() },
            { "port", route.address.port }, { "services", std::move(services) },
            { "kind", static_cast<unsigned>(route.kind) }, { "priority", route.priority },
            { "latency_target_ms", route.latencyTarget.count() }, { "timeout_ms", route.timeout.count() } };
    }

    json encodeWarmUpLimits(const RouteTable& table)
    {
        json limits = json::array();
        for (const WarmUpLimit& limit : table.warmUpLimits())
            limits.push_back({ { "service", limit.service.value() }, { "flows_per_second", limit.flowsPerSecond } });
        return limits;
    }

    json encodeRoutes(const RouteTable& table)
    {
        json routes = json::array();
        for (const Route& route : table.routes())
            routes.push_back(encodeRoute(route));
        return { { "version", table.version().value() }, { "idle_timeout_ms", table.idleTimeout().count() },
            { "routes", std::move(routes) }, { "warm_up_limits", encodeWarmUpLimits(table) } };
    }

    json encodeTarget(const VersionedTarget& target)
    {
        const TargetRecord& record = target.record;
        return { { "name", record.name }, { "version", target.version.value() },
            { "read_version", target.readVersion.value() }, { "presence", static_cast<unsigned>(target.presence) },
            { "key", record.key.value() }, { "started_ms", record.startedMs }, { "service", record.service.value() },
            { "address", record.address.toString() }, { "data_centre", record.dataCentre.value() },
            { "slots", record.slots }, { "draining", record.state == TargetState::Draining },
            { "cold_ms", record.coldRemaining.count() } };
    }

    json encodeEvacuations(const std::optional<EvacuationStatus>& evacuations)
    {
        if (!evacuations)
            return nullptr;
        json names = json::array();
        for (const DataCentreId& dataCentre : evacuations->dataCentres)
            names.push_back(dataCentre.value());
        return { { "version", evacuations->version.value() }, { "last_change", evacuations->lastChange.value() },
            { "age_ms", duration_cast<milliseconds>(evacuations->age).count() }, { "data_centres", std::move(names) } };
    }

    // The functions below throw if a field is missing, has the wrong type or an invalid value; decodeView converts the
    // exception into an error.
    std::uint64_t readUnsigned(const json& object, const char* name)
    {
        const json& value = object.at(name);
        if (!value.is_number_unsigned())
            throw std::invalid_argument(std::string("\"") + name + "\" is not an unsigned integer");
        return value.get<std::uint64_t>();
    }

    template <class Number> Number readNumber(const json& object, const char* name, Number minimum)
    {
        const std::uint64_t value = readUnsigned(object, name);
        if (value < minimum || value > std::numeric_limits<Number>::max())
            throw std::invalid_argument(std::string("\"") + name + "\" is out of range");
        return static_cast<Number>(value);
    }

    milliseconds readMilliseconds(const json& object, const char* name)
    {
        return milliseconds(readNumber<std::uint32_t>(object, name, 0));
    }

    std::string readString(const json& object, const char* name)
    {
        std::string text = object.at(name).get<std::string>();
        if (text.empty())
            throw std::invalid_argument(std::string("\"") + name + "\" is empty");
        return text;
    }

    const json& readArray(const json& object, const char* name)
    {
        const json& array = object.at(name);
        if (!array.is_array())
            throw std::invalid_argument(std::string("\"") + name + "\" is not an array");
        return array;
    }

    RouteKind readRouteKind(const json& object)
    {
        const std::uint64_t kind = readUnsigned(object, "kind");
        if (kind > static_cast<std::uint64_t>(RouteKind::Download))
            throw std::invalid_argument("unknown kind of route");
        return static_cast<RouteKind>(kind);
    }

    std::vector<WarmUpLimit> readWarmUpLimits(const json& object)
    {
        std::vector<WarmUpLimit> limits;
        for (const json& limit : readArray(object, "warm_up_limits")) {
            const auto flowsPerSecond = limit.at("flows_per_second").get<double>();
            if (!(flowsPerSecond > 0))
                throw std::invalid_argument("a warm-up limit is not above 0");
            limits.push_back(
                { .service = ServiceName(readString(limit, "service")), .flowsPerSecond = flowsPerSecond });
        }
        return limits;
    }

    Route readRoute(const json& object)
    {
        const auto address = Ipv4Address::parse(readString(object, "address"));
        if (!address)
            throw std::invalid_argument("route has an invalid address");
        Route route { .name = object.at("name").get<std::string>(),
            .address = { .address = *address, .port = readNumber<std::uint16_t>(object, "port", 1) },
            .services = {},
            .kind = readRouteKind(object),
            .priority = readNumber<std::uint32_t>(object, "priority", 0),
            .latencyTarget = readMilliseconds(object, "latency_target_ms"),
            .timeout = readMilliseconds(object, "timeout_ms") };
        for (const json& service : readArray(object, "services"))
            route.services.push_back({ .service = ServiceName(readString(service, "name")),
                .weight = readNumber<std::uint32_t>(service, "weight", 1) });
        if (route.services.empty())
            throw std::invalid_argument("route has no services");
        return route;
    }

    RouteTablePointer readRoutes(const json& object)
    {
        std::vector<Route> routes;
        for (const json& route : readArray(object, "routes"))
            routes.push_back(readRoute(route));
        return std::make_shared<const RouteTable>(ConfigVersion(readUnsigned(object, "version")), std::move(routes),
            readMilliseconds(object, "idle_timeout_ms"), readWarmUpLimits(object));
    }

    TargetPresence readPresence(const json& object)
    {
        const std::uint64_t presence = readUnsigned(object, "presence");
        if (presence > static_cast<std::uint64_t>(TargetPresence::Gone))
            throw std::invalid_argument("unknown presence of a target");
        return static_cast<TargetPresence>(presence);
    }

    VersionedTarget readTarget(const json& object)
    {
        const auto address = Ipv4Endpoint::parse(readString(object, "address"));
        if (!address)
            throw std::invalid_argument("a target without an address");
        TargetRecord record { .name = readString(object, "name"),
            .key = TargetKey(readNumber<std::uint64_t>(object, "key", 1)),
            .startedMs = readUnsigned(object, "started_ms"),
            .service = ServiceName(readString(object, "service")),
            .address = *address,
            .dataCentre = DataCentreId(readString(object, "data_centre")),
            .slots = readNumber<std::uint32_t>(object, "slots", 1),
            .state = object.at("draining").get<bool>() ? TargetState::Draining : TargetState::Ready,
            .coldRemaining = readMilliseconds(object, "cold_ms") };
        return { .record = std::move(record),
            .version = StoreVersion(readUnsigned(object, "version")),
            .readVersion = StoreVersion(readUnsigned(object, "read_version")),
            .presence = readPresence(object) };
    }

    std::optional<EvacuationStatus> readEvacuations(const json& object)
    {
        if (object.is_null())
            return std::nullopt;
        EvacuationStatus evacuations { .version = StoreVersion(readUnsigned(object, "version")),
            .lastChange = StoreVersion(readUnsigned(object, "last_change")),
            .age = readMilliseconds(object, "age_ms"),
            .dataCentres = {} };
        for (const json& name : readArray(object, "data_centres"))
            evacuations.dataCentres.emplace_back(name.get<std::string>());
        return evacuations;
    }

    ViewSnapshot readView(const json& object)
    {
        if (readUnsigned(object, "format") != formatVersion)
            throw std::invalid_argument("unsupported format version");
        const json& config = object.at("config");
        ViewSnapshot view { .routes = config.is_null() ? nullptr : readRoutes(config),
            .targets = {},
            .complete = object.at("complete").get<bool>(),
            .targetsVersion = StoreVersion(readUnsigned(object, "targets_version")),
            .targetsAge = readMilliseconds(object, "targets_age_ms"),
            .evacuations = readEvacuations(object.at("evacuations")) };
        for (const json& target : readArray(object, "targets"))
            view.targets.push_back(readTarget(target));
        return view;
    }

} // namespace

std::string encodeView(const ViewSnapshot& view)
{
    json targets = json::array();
    for (const VersionedTarget& target : view.targets)
        targets.push_back(encodeTarget(target));
    const json object = { { "format", formatVersion }, { "config", view.routes ? encodeRoutes(*view.routes) : json() },
        { "targets", std::move(targets) }, { "complete", view.complete },
        { "targets_version", view.targetsVersion.value() },
        { "targets_age_ms", duration_cast<milliseconds>(view.targetsAge).count() },
        { "evacuations", encodeEvacuations(view.evacuations) } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ViewSnapshot> decodeView(std::string_view text)
{
    try {
        return readView(json::parse(text));
    } catch (const std::exception& error) {
        return Error { .code = ErrorCode::InvalidArgument,
            .message = std::string("invalid view from a peer: ") + error.what() };
    }
}

} // namespace anvilwalk
