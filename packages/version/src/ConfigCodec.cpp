#include <anvilwalk/version.h>

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <limits>

namespace anvilwalk {

using nlohmann::json;

namespace {

    // Reads the members of a JSON object and keeps the first fault, so that a decoder checks once at its end.
    class JsonReader {
    public:
        JsonReader(const json& value, std::string what)
            : m_value(value)
            , m_what(std::move(what))
        {
            if (!value.is_object())
                fail("is not an object");
        }

        std::string text(const char* key)
        {
            const json* member = find(key, [](const json& v) { return v.is_string(); });
            return member == nullptr ? "" : member->get<std::string>();
        }

        bool boolean(const char* key)
        {
            const json* member = find(key, [](const json& v) { return v.is_boolean(); });
            return member != nullptr && member->get<bool>();
        }

        template <class Number = std::uint64_t> Number number(const char* key)
        {
            const json* member = find(key, [](const json& v) {
                return v.is_number_integer() && (v.is_number_unsigned() || v.get<std::int64_t>() >= 0)
                    && v.get<std::uint64_t>() <= static_cast<std::uint64_t>(std::numeric_limits<Number>::max());
            });
            return member == nullptr ? Number {} : member->get<Number>();
        }

        const json& array(const char* key)
        {
            static const json empty = json::array();
            const json* member = find(key, [](const json& v) { return v.is_array(); });
            return member == nullptr ? empty : *member;
        }

        const json& object(const char* key)
        {
            static const json empty = json::object();
            const json* member = find(key, [](const json& v) { return v.is_object(); });
            return member == nullptr ? empty : *member;
        }

        void fail(const std::string& message)
        {
            if (m_fault.empty())
                m_fault = m_what + ": " + message;
        }

        void merge(const JsonReader& other)
        {
            if (m_fault.empty())
                m_fault = other.m_fault;
        }

        bool ok() const { return m_fault.empty(); }
        Error error() const { return { .code = ErrorCode::InvalidArgument, .message = m_fault }; }

    private:
        template <class Check> const json* find(const char* key, const Check& check)
        {
            if (!m_value.is_object())
                return nullptr;
            const auto found = m_value.find(key);
            if (found != m_value.end() && check(*found))
                return &*found;
            fail(std::string("\"") + key + "\" is missing or not valid");
            return nullptr;
        }

        const json& m_value;
        std::string m_what;
        std::string m_fault;
    };

    PublishRecord decodePublish(const json& value, JsonReader& parent)
    {
        JsonReader reader(value, "publish in the index");
        PublishRecord record { .id = PublishId(reader.text("publishId")),
            .version = ConfigVersion(reader.number("configVersion")),
            .operatorName = reader.text("operator"),
            .publishedAtUnixMs = reader.number<std::int64_t>("publishedAtUnixMs"),
            .services = {} };
        for (const json& name : reader.array("services")) {
            if (name.is_string())
                record.services.emplace_back(name.get<std::string>());
            else
                reader.fail("a service name is not a string");
        }
        parent.merge(reader);
        return record;
    }

    std::vector<ServiceAddress> decodeAddresses(JsonReader& reader)
    {
        std::vector<ServiceAddress> addresses;
        for (const json& value : reader.array("addresses")) {
            const auto address
                = value.is_string() ? ServiceAddress::parse(value.get_ref<const std::string&>()) : std::nullopt;
            if (address)
                addresses.push_back(*address);
            else
                reader.fail("an address is not valid");
        }
        return addresses;
    }

    ConfiguredTarget decodeTarget(const json& value, JsonReader& parent)
    {
        JsonReader reader(value, "target in a service revision");
        ConfiguredTarget target { .host = reader.text("host"),
            .dataCentre = DataCentreId(reader.text("dataCentre")),
            .tunnel = {},
            .healthUrl = reader.text("healthUrl"),
            .weight = reader.number<std::uint32_t>("weight") };
        if (const auto tunnel = Ipv4Endpoint::parse(reader.text("tunnelAddress")))
            target.tunnel = *tunnel;
        else
            reader.fail("\"tunnelAddress\" is not an endpoint");
        parent.merge(reader);
        return target;
    }

    std::map<DataCentreId, std::uint32_t> decodeWeights(JsonReader& reader)
    {
        std::map<DataCentreId, std::uint32_t> weights;
        const json& object = reader.object("dataCentreWeights");
        JsonReader values(object, "data centre weights in a service revision");
        for (const auto& [name, value] : object.items())
            weights.emplace(name, values.number<std::uint32_t>(name.c_str()));
        reader.merge(values);
        return weights;
    }

    json encodeTarget(const ConfiguredTarget& target)
    {
        return { { "host", target.host }, { "dataCentre", target.dataCentre.value() },
            { "tunnelAddress", target.tunnel.toString() }, { "healthUrl", target.healthUrl },
            { "weight", target.weight } };
    }

    json encodePublish(const PublishRecord& record)
    {
        json services = json::array();
        for (const ServiceName& name : record.services)
            services.push_back(name.value());
        return { { "publishId", record.id.value() }, { "configVersion", record.version.value() },
            { "operator", record.operatorName }, { "publishedAtUnixMs", record.publishedAtUnixMs },
            { "services", std::move(services) } };
    }

    Error invalid(const std::string& message)
    {
        return { .code = ErrorCode::InvalidArgument, .message = "configuration: " + message };
    }

    // The first fault that would let a packet reach the wrong service, or an empty text.
    std::string findClash(const std::vector<ServiceConfig>& services)
    {
        absl::flat_hash_set<std::string> names;
        absl::flat_hash_set<ServiceId> ids;
        absl::flat_hash_set<ServiceAddress> addresses;
        for (const ServiceConfig& service : services) {
            if (!names.insert(service.name.value()).second)
                return "the service name " + service.name.value() + " occurs twice";
            if (service.id.value() == 0 || !ids.insert(service.id).second)
                return "the service id of " + service.name.value() + " is 0 or occurs twice";
            for (const ServiceAddress& address : service.addresses) {
                if (!addresses.insert(address).second)
                    return "the address " + address.toString() + " occurs twice";
            }
        }
        return {};
    }

    using RevisionKey = std::pair<std::string, std::string>;

} // namespace

const IndexEntry* ConfigIndex::find(const ServiceName& name) const
{
    const auto found
        = std::find_if(services.begin(), services.end(), [&](const IndexEntry& entry) { return entry.name == name; });
    return found == services.end() ? nullptr : &*found;
}

const PublishRecord* ConfigIndex::findPublish(const PublishId& id) const
{
    const auto found = std::find_if(
        publishes.begin(), publishes.end(), [&](const PublishRecord& record) { return record.id == id; });
    return found == publishes.end() ? nullptr : &*found;
}

std::string revisionObjectName(const ServiceName& service, const PublishId& publishId)
{
    std::string name = service.value();
    std::replace(name.begin(), name.end(), '/', '.');
    return name + "." + publishId.value();
}

json encodeIndex(const ConfigIndex& index)
{
    json services = json::object();
    for (const IndexEntry& entry : index.services) {
        services[entry.name.value()] = { { "id", entry.id.value() }, { "publishId", entry.publishId.value() },
            { "object", revisionObjectName(entry.name, entry.publishId) } };
    }
    json publishes = json::array();
    for (const PublishRecord& record : index.publishes)
        publishes.push_back(encodePublish(record));
    json spec { { "configVersion", index.version.value() }, { "lastServiceId", index.lastServiceId.value() },
        { "services", std::move(services) }, { "publishes", std::move(publishes) } };
    if (!index.publishes.empty()) {
        spec["publishId"] = index.publishes.back().id.value();
        spec["operator"] = index.publishes.back().operatorName;
    }
    return spec;
}

Result<ConfigIndex> decodeIndex(const json& spec)
{
    JsonReader reader(spec, "index object");
    ConfigIndex index { .version = ConfigVersion(reader.number("configVersion")),
        .lastServiceId = ServiceId(reader.number<std::uint32_t>("lastServiceId")),
        .services = {},
        .publishes = {} };
    for (const auto& [name, value] : reader.object("services").items()) {
        JsonReader entry(value, "service in the index");
        index.services.push_back({ .id = ServiceId(entry.number<std::uint32_t>("id")),
            .name = ServiceName(name),
            .publishId = PublishId(entry.text("publishId")) });
        reader.merge(entry);
    }
    for (const json& value : reader.array("publishes"))
        index.publishes.push_back(decodePublish(value, reader));
    if (!reader.ok())
        return reader.error();
    return index;
}

json encodeRevision(const ServiceRevision& revision)
{
    const ServiceConfig& config = revision.config;
    json addresses = json::array();
    for (const ServiceAddress& address : config.addresses)
        addresses.push_back(address.toString());
    json weights = json::object();
    for (const auto& [dataCentre, weight] : config.dataCentreWeights)
        weights[dataCentre.value()] = weight;
    json targets = json::array();
    for (const ConfiguredTarget& target : config.targets)
        targets.push_back(encodeTarget(target));
    return { { "name", config.name.value() }, { "publishId", revision.publishId.value() },
        { "addresses", std::move(addresses) },
        { "traffic", config.traffic == TrafficKind::Stream ? "stream" : "request" },
        { "idempotent", config.idempotent }, { "idleDeadlineMs", config.idleDeadline.count() },
        { "drainDeadlineMs", config.drainDeadline.count() },
        { "limits",
            { { "newFlowsPerSecond", config.limits.newFlowsPerSecond }, { "openFlows", config.limits.openFlows } } },
        { "dataCentreWeights", std::move(weights) }, { "targetsFromVmList", config.targetsFromVmList },
        { "targets", std::move(targets) } };
}

Result<ServiceRevision> decodeRevision(const json& spec)
{
    JsonReader reader(spec, "service revision");
    ServiceRevision revision { .publishId = PublishId(reader.text("publishId")), .config = {} };
    ServiceConfig& config = revision.config;
    config.name = ServiceName(reader.text("name"));
    config.addresses = decodeAddresses(reader);
    const std::string traffic = reader.text("traffic");
    if (traffic != "stream" && traffic != "request")
        reader.fail("\"traffic\" is neither stream nor request");
    config.traffic = traffic == "stream" ? TrafficKind::Stream : TrafficKind::Request;
    config.idempotent = reader.boolean("idempotent");
    config.idleDeadline = std::chrono::milliseconds(reader.number<std::int64_t>("idleDeadlineMs"));
    config.drainDeadline = std::chrono::milliseconds(reader.number<std::int64_t>("drainDeadlineMs"));
    JsonReader limits(reader.object("limits"), "limits in a service revision");
    config.limits.newFlowsPerSecond = limits.number<std::uint32_t>("newFlowsPerSecond");
    config.limits.openFlows = limits.number<std::uint32_t>("openFlows");
    reader.merge(limits);
    config.dataCentreWeights = decodeWeights(reader);
    config.targetsFromVmList = reader.boolean("targetsFromVmList");
    for (const json& value : reader.array("targets"))
        config.targets.push_back(decodeTarget(value, reader));
    if (!reader.ok())
        return reader.error();
    return revision;
}

Result<ConfigSnapshotPointer> makeConfigSnapshot(
    const std::string& indexJson, const std::vector<std::string>& revisionJson)
{
    const auto index = decodeIndex(json::parse(indexJson, nullptr, false));
    if (!isOk(index))
        return errorOf(index);
    std::map<RevisionKey, std::pair<ServiceConfig, const std::string*>> revisions;
    for (const std::string& text : revisionJson) {
        auto revision = decodeRevision(json::parse(text, nullptr, false));
        if (!isOk(revision))
            return errorOf(revision);
        ServiceConfig& config = valueOf(revision).config;
        const RevisionKey key(config.name.value(), valueOf(revision).publishId.value());
        revisions.emplace(key, std::pair(std::move(config), &text));
    }
    std::vector<ServiceConfig> services;
    ConfigSource source { .indexJson = indexJson, .revisionJson = {} };
    for (const IndexEntry& entry : valueOf(index).services) {
        const auto found = revisions.find({ entry.name.value(), entry.publishId.value() });
        if (found == revisions.end())
            return invalid("the revision " + revisionObjectName(entry.name, entry.publishId) + " is missing");
        services.push_back(found->second.first);
        services.back().id = entry.id;
        source.revisionJson.push_back(*found->second.second);
    }
    if (const std::string clash = findClash(services); !clash.empty())
        return invalid(clash);
    return std::make_shared<const ConfigSnapshot>(valueOf(index).version, std::move(services), std::move(source));
}

} // namespace anvilwalk
