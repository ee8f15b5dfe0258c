#include <anvilwalk/process/Settings.h>

#include <array>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace anvilwalk {

namespace {

    constexpr std::int64_t maxThreads = 64;
    constexpr std::int64_t minFlowCapacity = 1'000;
    constexpr std::int64_t maxFlowCapacity = 10'000'000;
    constexpr std::int64_t maxDrainSeconds = 86'400;
    constexpr std::int64_t minPlatformTimeoutMs = 10;
    constexpr std::int64_t maxPlatformTimeoutMs = 60'000;
    constexpr std::int64_t maxSampleEvery = 1'000'000'000;
    // Every heartbeat and every relayed packet contains ids.
    constexpr std::size_t maxIdLength = 64;

    const std::map<std::string, std::set<std::string>, std::less<>>& knownKeys()
    {
        static const std::map<std::string, std::set<std::string>, std::less<>> keys {
            { "balancer",
                { "id", "data_centre", "packet_address", "relay_address", "control_address", "threads", "flow_capacity",
                    "drain_deadline_seconds" } },
            { "platform", { "url", "timeout_ms" } },
            { "refusal", { "gateway" } },
            { "metrics", { "address" } },
            { "log", { "level" } },
            { "tracing", { "sample_every", "output" } },
            { "peers", { "seeds" } },
        };
        return keys;
    }

    std::string joinNames(const std::set<std::string>& names)
    {
        std::string text;
        for (const std::string& name : names) {
            if (!text.empty())
                text += ", ";
            text += name;
        }
        return text;
    }

    std::string unknownKeyMessage(const std::string& key, const std::string& section)
    {
        return "Unknown key \"" + key + "\" in [" + section + "].";
    }

    struct IntegerRange {
        std::int64_t min;
        std::int64_t max;
    };

    // Reads the values of a settings file and collects its errors.
    class SettingsReader {
    public:
        SettingsReader(const toml::table& root, std::string file)
            : m_root(root)
            , m_file(std::move(file))
        {
        }

        std::variant<Settings, Findings> read();

    private:
        void checkKeys();
        void checkSectionKeys(const std::string& section, const toml::table&, const std::set<std::string>& known);
        void readBalancer();
        void readOtherSections();
        void readSeeds();
        void checkDistinctAddresses();

        const toml::node* find(const std::string& section, const std::string& key) const;
        const toml::node* require(const std::string& section, const std::string& key, const std::string& hint);
        std::string readString(const std::string& section, const std::string& key, const std::string& hint);
        std::string readId(const std::string& key, const std::string& hint);
        std::optional<Ipv4Endpoint> readEndpoint(const std::string& section, const std::string& key, bool required);
        std::optional<Ipv4Endpoint> parseEndpoint(const toml::node&, const std::string& name);
        std::int64_t readInteger(
            const std::string& section, const std::string& key, std::int64_t defaultValue, const IntegerRange&);

        SourcePlace placeOf(const toml::source_region& region) const
        {
            return { .file = m_file, .line = region.begin.line, .column = region.begin.column };
        }
        void addFinding(const toml::source_region& region, const std::string& message, const std::string& hint)
        {
            m_findings.add({ .place = placeOf(region), .message = message, .hint = hint });
        }

        const toml::table& m_root;
        std::string m_file;
        Settings m_settings;
        Findings m_findings;
    };

    std::variant<Settings, Findings> SettingsReader::read()
    {
        checkKeys();
        readBalancer();
        readOtherSections();
        readSeeds();
        checkDistinctAddresses();
        if (!m_findings.empty())
            return m_findings;
        return m_settings;
    }

    void SettingsReader::checkKeys()
    {
        for (const auto& [key, node] : m_root) {
            const auto known = knownKeys().find(key.str());
            const std::string name(key.str());
            if (known == knownKeys().end()) {
                addFinding(key.source(), "Unknown section \"" + name + "\".",
                    "use balancer, platform, refusal, metrics, log, tracing or peers");
                continue;
            }
            const toml::table* table = node.as_table();
            if (table == nullptr) {
                addFinding(
                    key.source(), "\"" + name + "\" is not a section.", "write [" + name + "] on a line of its own");
                continue;
            }
            checkSectionKeys(name, *table, known->second);
        }
    }

    void SettingsReader::checkSectionKeys(
        const std::string& section, const toml::table& table, const std::set<std::string>& known)
    {
        for (const auto& [key, node] : table) {
            const std::string name(key.str());
            if (!known.contains(name))
                addFinding(key.source(), unknownKeyMessage(name, section), "use " + joinNames(known));
        }
    }

    const toml::node* SettingsReader::find(const std::string& section, const std::string& key) const
    {
        const toml::table* table = m_root[section].as_table();
        return table == nullptr ? nullptr : table->get(key);
    }

    const toml::node* SettingsReader::require(
        const std::string& section, const std::string& key, const std::string& hint)
    {
        if (const toml::node* node = find(section, key))
            return node;
        const toml::node* table = m_root.get(section);
        const toml::source_region region = table == nullptr ? toml::source_region {} : table->source();
        addFinding(region, "Key \"" + key + "\" is missing in [" + section + "].", hint);
        return nullptr;
    }

    std::string SettingsReader::readString(const std::string& section, const std::string& key, const std::string& hint)
    {
        const toml::node* node = find(section, key);
        if (node == nullptr)
            return {};
        const auto text = node->value_exact<std::string>();
        if (!text)
            addFinding(node->source(), "\"" + key + "\" is not a string.", hint);
        return text.value_or("");
    }

    std::string SettingsReader::readId(const std::string& key, const std::string& hint)
    {
        const toml::node* node = require("balancer", key, hint);
        if (node == nullptr)
            return {};
        std::string text = readString("balancer", key, hint);
        if (node->is_string() && (text.empty() || text.size() > maxIdLength))
            addFinding(node->source(), "\"" + key + "\" has " + std::to_string(text.size()) + " characters.",
                "use 1 to " + std::to_string(maxIdLength) + " characters");
        return text;
    }

    std::optional<Ipv4Endpoint> SettingsReader::parseEndpoint(const toml::node& node, const std::string& name)
    {
        const auto text = node.value_exact<std::string>();
        const auto endpoint = text ? Ipv4Endpoint::parse(*text) : std::nullopt;
        if (!endpoint)
            addFinding(node.source(), "\"" + name + "\" is not an IPv4 address with a port.",
                "use the form \"10.0.0.1:7000\"");
        return endpoint;
    }

    std::optional<Ipv4Endpoint> SettingsReader::readEndpoint(
        const std::string& section, const std::string& key, bool required)
    {
        const toml::node* node
            = required ? require(section, key, "use the form \"10.0.0.1:7000\"") : find(section, key);
        return node == nullptr ? std::nullopt : parseEndpoint(*node, key);
    }

    std::int64_t SettingsReader::readInteger(
        const std::string& section, const std::string& key, std::int64_t defaultValue, const IntegerRange& range)
    {
        const toml::node* node = find(section, key);
        if (node == nullptr)
            return defaultValue;
        const std::string hint
            = "use an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max);
        const auto value = node->value_exact<std::int64_t>();
        if (!value) {
            addFinding(node->source(), "\"" + key + "\" is not an integer.", hint);
            return defaultValue;
        }
        if (*value < range.min || *value > range.max)
            addFinding(
                node->source(), "\"" + key + "\" is " + std::to_string(*value) + ", which is out of range.", hint);
        return *value;
    }

    void SettingsReader::readBalancer()
    {
        m_settings.balancer = BalancerId(readId("id", "set a name that no other balancer has"));
        m_settings.dataCentre = DataCentreId(readId("data_centre", "set the name of the data centre of this balancer"));
        m_settings.packetAddress = readEndpoint("balancer", "packet_address", true).value_or(Ipv4Endpoint {});
        m_settings.relayAddress = readEndpoint("balancer", "relay_address", true).value_or(Ipv4Endpoint {});
        m_settings.controlAddress = readEndpoint("balancer", "control_address", true).value_or(Ipv4Endpoint {});
        m_settings.threads = static_cast<std::uint32_t>(
            readInteger("balancer", "threads", m_settings.threads, { .min = 1, .max = maxThreads }));
        m_settings.flowCapacity = static_cast<std::uint32_t>(readInteger(
            "balancer", "flow_capacity", m_settings.flowCapacity, { .min = minFlowCapacity, .max = maxFlowCapacity }));
        m_settings.drainDeadline = std::chrono::seconds(readInteger("balancer", "drain_deadline_seconds",
            m_settings.drainDeadline.count(), { .min = 1, .max = maxDrainSeconds }));
    }

    void SettingsReader::readOtherSections()
    {
        const std::string urlHint = "use the form \"http://10.0.0.1:8080\"";
        if (const toml::node* node = require("platform", "url", urlHint)) {
            m_settings.platformUrl = readString("platform", "url", urlHint);
            if (node->is_string() && !m_settings.platformUrl.starts_with("http://"))
                addFinding(node->source(), "\"url\" is not an HTTP URL.", urlHint);
        }
        m_settings.platformTimeout = std::chrono::milliseconds(readInteger("platform", "timeout_ms",
            m_settings.platformTimeout.count(), { .min = minPlatformTimeoutMs, .max = maxPlatformTimeoutMs }));
        m_settings.refusalGateway = readEndpoint("refusal", "gateway", false);
        m_settings.metricsAddress = readEndpoint("metrics", "address", true).value_or(Ipv4Endpoint {});
        m_settings.traceSampleEvery = static_cast<std::uint32_t>(
            readInteger("tracing", "sample_every", m_settings.traceSampleEvery, { .min = 1, .max = maxSampleEvery }));
        m_settings.traceOutput = readString("tracing", "output", "use \"\", \"-\" or the path of a file");
        if (const toml::node* node = find("log", "level")) {
            static const std::set<std::string> levels { "trace", "debug", "info", "warn", "error" };
            m_settings.logLevel = readString("log", "level", "use " + joinNames(levels));
            if (node->is_string() && !levels.contains(m_settings.logLevel))
                addFinding(
                    node->source(), "Unknown log level \"" + m_settings.logLevel + "\".", "use " + joinNames(levels));
        }
    }

    void SettingsReader::readSeeds()
    {
        const toml::node* node = find("peers", "seeds");
        if (node == nullptr)
            return;
        const toml::array* seeds = node->as_array();
        if (seeds == nullptr) {
            addFinding(node->source(), "\"seeds\" is not an array.", "use the form [\"10.0.0.1:7002\"]");
            return;
        }
        for (const toml::node& seed : *seeds) {
            if (const auto endpoint = parseEndpoint(seed, "seeds"))
                m_settings.seeds.push_back(*endpoint);
        }
    }

    void SettingsReader::checkDistinctAddresses()
    {
        struct NamedEndpoint {
            const char* section;
            const char* key;
            Ipv4Endpoint endpoint;
        };
        // The packet and relay addresses use UDP, the control and metrics addresses use TCP. Only endpoints of the same
        // protocol conflict.
        const std::array<std::array<NamedEndpoint, 2>, 2> pairs { {
            { { { "balancer", "packet_address", m_settings.packetAddress },
                { "balancer", "relay_address", m_settings.relayAddress } } },
            { { { "balancer", "control_address", m_settings.controlAddress },
                { "metrics", "address", m_settings.metricsAddress } } },
        } };
        for (const auto& [first, second] : pairs) {
            if (first.endpoint != second.endpoint || first.endpoint == Ipv4Endpoint {})
                continue;
            addFinding(find(second.section, second.key)->source(),
                "\"" + std::string(second.key) + "\" has the same value as \"" + first.key + "\".",
                "use a different port for each");
        }
    }

} // namespace

std::variant<Settings, Findings> parseSettings(std::string_view text, const std::string& fileName)
{
    try {
        const toml::table root = toml::parse(text, fileName);
        return SettingsReader(root, fileName).read();
    } catch (const toml::parse_error& error) {
        Findings findings;
        findings.add(
            { .place = { .file = fileName, .line = error.source().begin.line, .column = error.source().begin.column },
                .message = std::string(error.description()) + ".",
                .hint = "correct the TOML syntax" });
        return findings;
    }
}

std::variant<Settings, Findings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        Findings findings;
        findings.add({ .place = { .file = path }, .message = "The file cannot be read.", .hint = "check --config" });
        return findings;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace anvilwalk
