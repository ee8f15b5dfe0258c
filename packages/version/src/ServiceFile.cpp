#include <anvilwalk/toml.h>

#include <anvilwalk/version.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <map>
#include <set>

namespace anvilwalk {

using namespace std::chrono_literals;

namespace {

    // A service file holds one service; more than this is another kind of file.
    constexpr std::size_t maxFileBytes = std::size_t { 256 } * 1024;
    constexpr std::size_t maxNameLength = 63;
    constexpr std::uint32_t maxWeight = 10'000;

    constexpr auto leastIdleDeadline = 1s;
    constexpr auto mostIdleDeadline = 24h;
    constexpr auto leastDrainDeadline = 1s;
    constexpr auto mostDrainDeadline = 168h;

    bool isName(std::string_view text)
    {
        const auto valid = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
        return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), valid)
            && text.front() != '-' && text.back() != '-';
    }

    bool isHealthUrl(std::string_view url)
    {
        constexpr std::string_view scheme = "http://";
        if (url.substr(0, scheme.size()) != scheme)
            return false;
        const std::string_view rest = url.substr(scheme.size());
        const auto printable = [](char c) { return c > ' ' && c < '\x7f'; };
        const std::size_t slash = std::min(rest.find('/'), rest.size());
        return std::all_of(rest.begin(), rest.end(), printable)
            && Ipv4Endpoint::parse(rest.substr(0, slash)).has_value();
    }

    // Class D and E and 0.0.0.0/8 cannot be the address of a service.
    bool isUnicast(const Ipv4Address& address)
    {
        const std::uint32_t first = address.value >> 24U;
        return first != 0 && first < 224;
    }

    // Reads one file into a service. Faults go to the findings.
    class FileReader {
    public:
        FileReader(const toml::table& table, const std::string& file, Findings& findings)
            : m_table(table)
            , m_file(file)
            , m_findings(findings)
            , m_reader(table, file, "the service file", findings)
        {
        }

        // The service, its places in the file and the places of its addresses in order.
        struct Service {
            ServiceConfig config;
            SourcePlace place;
            std::vector<SourcePlace> addressPlaces;
        };

        Service read()
        {
            readName();
            readAddresses();
            readTraffic();
            ServiceConfig& config = m_service.config;
            config.idempotent = m_reader.boolean("idempotent").value_or(false);
            if (const auto value = m_reader.duration("idle_deadline", leastIdleDeadline, mostIdleDeadline))
                config.idleDeadline = *value;
            if (const auto value = m_reader.duration("drain_deadline", leastDrainDeadline, mostDrainDeadline))
                config.drainDeadline = *value;
            readLimits();
            readDataCentres();
            readTargets();
            m_reader.reportUnknownKeys();
            return std::move(m_service);
        }

    private:
        // A required name; empty if it is not valid.
        std::string readNamePart(const char* key, const char* example)
        {
            const toml::node* node = m_reader.require(key, example);
            const auto text = m_reader.text(key, example);
            if (!text)
                return {};
            if (isName(*text))
                return *text;
            m_reader.add(*node, std::string(key) + " = " + quoteForMessage(*text) + " is not a valid name",
                std::string("write up to 63 lower-case letters, digits and inner dashes, for example ") + example);
            return {};
        }

        void readName()
        {
            const std::string user = readNamePart("user", "\"cordeles\"");
            const std::string service = readNamePart("service", "\"dispatch\"");
            const toml::node* node = m_table.get("service");
            m_service.place = node == nullptr ? SourcePlace { .file = m_file } : m_reader.placeOf(node->source());
            if (!user.empty() && !service.empty())
                m_service.config.name = ServiceName(user + "/" + service);
        }

        void readAddresses()
        {
            const char* example = "[\"203.0.113.10:443/tcp\"]";
            const toml::node* node = m_reader.require("addresses", example);
            if (node == nullptr)
                return;
            const auto* list = node->as_array();
            if (list == nullptr || list->empty()) {
                m_reader.add(*node, "addresses is not a list with at least one address",
                    std::string("write addresses = ") + example);
                return;
            }
            for (const toml::node& item : *list)
                readAddress(item);
        }

        void readAddress(const toml::node& item)
        {
            const auto* text = item.as_string();
            const auto address = text == nullptr ? std::nullopt : ServiceAddress::parse(text->get());
            if (!address || !isUnicast(address->address)) {
                m_reader.add(item,
                    "the address " + (text == nullptr ? "" : quoteForMessage(text->get()) + " ") + "is not valid",
                    "write IPv4 address, port and protocol, for example \"203.0.113.10:443/tcp\"");
                return;
            }
            m_service.config.addresses.push_back(*address);
            m_service.addressPlaces.push_back(m_reader.placeOf(item.source()));
        }

        void readTraffic()
        {
            const toml::node* node = m_reader.require("traffic", "\"stream\" or traffic = \"request\"");
            const auto text = m_reader.text("traffic", "\"stream\" or traffic = \"request\"");
            if (!text)
                return;
            if (*text != "stream" && *text != "request")
                m_reader.add(*node, "traffic = " + quoteForMessage(*text) + " is unknown",
                    "write \"stream\" for flows that stay open for hours, else \"request\"");
            m_service.config.traffic = *text == "stream" ? TrafficKind::Stream : TrafficKind::Request;
        }

        // A table under a key; null if it is absent or not a table.
        const toml::table* readTable(const char* key, const char* example)
        {
            const toml::node* node = m_reader.find(key);
            if (node == nullptr)
                return nullptr;
            if (node->is_table())
                return node->as_table();
            m_reader.add(*node, std::string(key) + " is not a table", example);
            return nullptr;
        }

        void readLimits()
        {
            const toml::table* table = readTable("limits", "write [limits] and its keys on lines of their own");
            if (table == nullptr)
                return;
            constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
            const char* example = "3000, or remove the key for no limit";
            TomlTableReader limits(*table, m_file, "[limits]", m_findings);
            m_service.config.limits.newFlowsPerSecond
                = limits.number("new_flows_per_second", 1, most, example).value_or(0);
            m_service.config.limits.openFlows = limits.number("open_flows", 1, most, example).value_or(0);
            limits.reportUnknownKeys();
        }

        void readDataCentres()
        {
            const toml::table* table
                = readTable("data_centres", "write [data_centres] and lines such as lima-a = 1000 below it");
            if (table == nullptr)
                return;
            TomlTableReader weights(*table, m_file, "[data_centres]", m_findings);
            for (const auto& [key, node] : *table) {
                if (!isName(key.str()))
                    weights.add(node, quoteForMessage(key.str()) + " is not the name of a data centre",
                        "write lower-case letters, digits and inner dashes, for example lima-a");
                const auto weight = weights.number(key.str(), 0, maxWeight, "1000 for a full share (thousandths)");
                if (weight)
                    m_service.config.dataCentreWeights[DataCentreId(std::string(key.str()))] = *weight;
            }
        }

        void readTargets()
        {
            const toml::node* node = m_reader.find("targets");
            if (node == nullptr)
                return;
            const char* hint = "write [targets] with from = \"vm-list\", or a [[targets]] block for each target";
            const toml::node* list = node;
            if (const auto* table = node->as_table()) {
                TomlTableReader targets(*table, m_file, "[targets]", m_findings);
                list = targets.find("from");
                targets.reportUnknownKeys();
                if (list == nullptr) {
                    targets.addHere("[targets] has no from", hint);
                    return;
                }
            }
            if (list->is_string() && list->as_string()->get() == "vm-list")
                return;
            if (!list->is_array()) {
                m_reader.add(*list, "targets names neither the VM list nor targets", hint);
                return;
            }
            m_service.config.targetsFromVmList = false;
            readTargetList(*list->as_array(), hint);
        }

        void readTargetList(const toml::array& list, const char* hint)
        {
            const std::size_t faultsBefore = m_findings.all().size();
            for (const toml::node& item : list) {
                if (const auto* table = item.as_table())
                    readTarget(*table);
                else
                    m_reader.add(item, "a target is not a table", hint);
            }
            if (m_findings.all().size() == faultsBefore)
                checkTargetsLeft(list);
        }

        void readTarget(const toml::table& table)
        {
            TomlTableReader reader(table, m_file, "a target", m_findings);
            ConfiguredTarget target;
            target.host = readTargetName(reader, "host", "\"host-1\"");
            target.dataCentre = DataCentreId(readTargetName(reader, "data_centre", "\"lima-a\""));
            const toml::node* tunnel = reader.require("tunnel", "\"10.0.0.1:5555\"");
            const auto tunnelText = reader.text("tunnel", "\"10.0.0.1:5555\"");
            const auto endpoint = Ipv4Endpoint::parse(tunnelText.value_or(""));
            if (tunnelText && !endpoint)
                reader.add(*tunnel, "the tunnel " + quoteForMessage(*tunnelText) + " is not valid",
                    "write IPv4 address and UDP port of the host's tunnel, for example \"10.0.0.1:5555\"");
            target.tunnel = endpoint.value_or(Ipv4Endpoint {});
            target.healthUrl = reader.text("health_url", "\"http://10.0.0.1:8080/health\"").value_or("");
            if (!target.healthUrl.empty() && !isHealthUrl(target.healthUrl))
                reader.add(*table.get("health_url"),
                    "health_url " + quoteForMessage(target.healthUrl) + " is not valid",
                    "write an http URL with an IPv4 address and a port, for example \"http://10.0.0.1:8080/health\"");
            target.weight = reader.number("weight", 0, maxWeight, "1000").value_or(1000);
            reader.reportUnknownKeys();
            checkTargetUnique(reader, target);
            m_service.config.targets.push_back(std::move(target));
        }

        std::string readTargetName(TomlTableReader& reader, const char* key, const char* example)
        {
            const toml::node* node = reader.require(key, example);
            const auto text = reader.text(key, example);
            if (text && !isName(*text))
                reader.add(*node, std::string(key) + " = " + quoteForMessage(*text) + " is not a valid name",
                    std::string("write lower-case letters, digits and inner dashes, for example ") + example);
            return text.value_or("");
        }

        void checkTargetUnique(TomlTableReader& reader, const ConfiguredTarget& target)
        {
            for (const ConfiguredTarget& other : m_service.config.targets) {
                if (other.dataCentre == target.dataCentre && other.host == target.host)
                    reader.addHere("the host " + quoteForMessage(target.host) + " occurs twice in its data centre",
                        "remove one of the two targets");
                else if (other.tunnel == target.tunnel && target.tunnel.port != 0)
                    reader.addHere("the tunnel " + target.tunnel.toString() + " belongs to two targets",
                        "give each target the tunnel of its own host");
            }
        }

        void checkTargetsLeft(const toml::array& list)
        {
            const ServiceConfig& config = m_service.config;
            const auto takesFlows = [&](const ConfiguredTarget& target) {
                const auto weight = config.dataCentreWeights.find(target.dataCentre);
                return target.weight > 0 && (weight == config.dataCentreWeights.end() || weight->second > 0);
            };
            if (std::none_of(config.targets.begin(), config.targets.end(), takesFlows))
                m_reader.add(list, "the service would lose its last target",
                    "keep at least one target whose weight and whose data centre's weight are above 0");
        }

        const toml::table& m_table;
        const std::string& m_file;
        Findings& m_findings;
        TomlTableReader m_reader;
        Service m_service;
    };

    using ParsedService = FileReader::Service;

    std::string placeText(const SourcePlace& place)
    {
        return place.file + (place.line > 0 ? ":" + std::to_string(place.line) : "");
    }

    void checkNames(const std::vector<ParsedService>& services, Findings& findings)
    {
        std::map<ServiceName, SourcePlace> first;
        for (const ParsedService& service : services) {
            const ServiceName& name = service.config.name;
            if (name.value().empty())
                continue;
            const auto [found, inserted] = first.emplace(name, service.place);
            if (!inserted)
                findings.add({ .place = service.place,
                    .message = "the service " + name.value() + " is also described in " + placeText(found->second),
                    .hint = "give one of the two another name or remove its file" });
        }
    }

    void checkAddresses(const std::vector<ParsedService>& services, Findings& findings)
    {
        std::map<ServiceAddress, SourcePlace> first;
        for (const ParsedService& service : services) {
            for (std::size_t index = 0; index < service.config.addresses.size(); ++index) {
                const ServiceAddress& address = service.config.addresses[index];
                const SourcePlace& place = service.addressPlaces[index];
                const auto [found, inserted] = first.emplace(address, place);
                if (!inserted)
                    findings.add({ .place = place,
                        .message
                        = "the address " + address.toString() + " is already used at " + placeText(found->second),
                        .hint = "use another address, port or protocol for one of the two" });
            }
        }
    }

    void readFile(const ServiceFileText& file, std::vector<ParsedService>& services, Findings& findings)
    {
        if (file.text.size() > maxFileBytes) {
            findings.add({ .place = { .file = file.path },
                .message = "the file is larger than 256 KiB",
                .hint = "a service file describes one service; check the path" });
            return;
        }
        try {
            const toml::table table = toml::parse(file.text);
            services.push_back(FileReader(table, file.path, findings).read());
        } catch (const toml::parse_error& error) {
            const toml::source_position& begin = error.source().begin;
            findings.add({ .place = { .file = file.path, .line = begin.line, .column = begin.column },
                .message = "not valid TOML: " + std::string(error.description()),
                .hint = "correct the syntax; later faults of this file are not shown until then" });
        }
    }

} // namespace

ServiceFileSet readServiceFiles(const std::vector<ServiceFileText>& files)
{
    ServiceFileSet set;
    std::vector<ParsedService> services;
    for (const ServiceFileText& file : files)
        readFile(file, services, set.findings);
    checkNames(services, set.findings);
    checkAddresses(services, set.findings);
    for (ParsedService& service : services)
        set.services.push_back({ .config = std::move(service.config), .place = service.place });
    return set;
}

} // namespace anvilwalk
