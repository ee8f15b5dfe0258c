#include "EdgeSettings.h"

#include <anvilwalk/toml.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace anvilwalk {

namespace {

    constexpr double minMemoryMegabytes = 16;
    constexpr double maxMemoryMegabytes = 1 << 20;
    constexpr double maxMilliseconds = 3'600'000;
    constexpr double maxStopSeconds = 3600;
    constexpr double maxWarmUpFactor = 100;
    constexpr double maxWarmUpSlack = 10'000;

    // Reads the sections of a settings file in turn. Unknown sections and keys are reported as errors.
    class EdgeSettingsReader {
    public:
        EdgeSettingsReader(const toml::table& root, std::string file)
            : m_file(std::move(file))
            , m_reader(root, m_file, "the settings file", m_findings)
        {
        }

        std::variant<EdgeSettings, Findings> read()
        {
            readSection("balancer", [this](TomlTableReader& section) { readBalancer(section); });
            readSection("listen", [this](TomlTableReader& section) { readListen(section); });
            readSection("store", [this](TomlTableReader& section) { readStore(section); });
            if (m_reader.find("peers") != nullptr)
                readSection("peers", [this](TomlTableReader& section) { readPeers(section); });
            readSection("limits", [this](TomlTableReader& section) { readLimits(section); });
            readSection("bounds", [this](TomlTableReader& section) { readBounds(section); });
            m_reader.reportUnknownKeys();
            if (!m_findings.empty())
                return m_findings;
            return m_settings;
        }

    private:
        template <class Read> void readSection(const std::string& name, Read read)
        {
            const toml::node* node = m_reader.require(name, "..., as a section [" + name + "]");
            if (node == nullptr)
                return;
            const toml::table* table = node->as_table();
            if (table == nullptr) {
                m_reader.add(*node, name + " is not a section", "write [" + name + "] on a line of its own");
                return;
            }
            TomlTableReader section(*table, m_file, "[" + name + "]", m_findings);
            read(section);
            section.reportUnknownKeys();
        }

        std::string readName(TomlTableReader& section, const char* key, const char* example)
        {
            section.require(key, example);
            std::string text = section.text(key, example).value_or("");
            const toml::node* node = section.find(key);
            if (node != nullptr && node->is_string() && text.empty())
                section.add(*node, std::string(key) + " is empty", std::string("write ") + key + " = " + example);
            return text;
        }

        Ipv4Endpoint readEndpoint(TomlTableReader& section, const char* key)
        {
            constexpr const char* example = "\"10.0.0.1:8000\"";
            const toml::node* node = section.require(key, example);
            if (node == nullptr)
                return {};
            const auto text = section.text(key, example);
            const auto endpoint = text ? Ipv4Endpoint::parse(*text) : std::nullopt;
            if (text && !endpoint)
                section.add(*node, std::string(key) + " = " + quoteForMessage(*text) + " is not an address with a port",
                    std::string("write ") + key + " = " + example);
            return endpoint.value_or(Ipv4Endpoint {});
        }

        std::chrono::milliseconds readMilliseconds(
            TomlTableReader& section, const char* key, std::chrono::milliseconds defaultValue)
        {
            const auto value = section.decimal(key, 1, maxMilliseconds, std::to_string(defaultValue.count()));
            return value ? std::chrono::milliseconds(static_cast<std::int64_t>(*value)) : defaultValue;
        }

        void readBalancer(TomlTableReader& section)
        {
            m_settings.balancer = BalancerId(readName(section, "id", "\"balancer-1\""));
            m_settings.dataCentre = DataCentreId(readName(section, "data_centre", "\"lima-a\""));
        }

        void readListen(TomlTableReader& section)
        {
            m_settings.packetAddress = readEndpoint(section, "packets");
            m_settings.readyAddress = readEndpoint(section, "ready");
            m_settings.metricsAddress = readEndpoint(section, "metrics");
            if (section.find("peers") != nullptr)
                m_settings.peerAddress = readEndpoint(section, "peers");
            readHeartbeats(section);
            readLoadReports(section);
        }

        void readHeartbeats(TomlTableReader& section)
        {
            const toml::node* node = section.find("heartbeats");
            if (node == nullptr)
                return;
            m_settings.heartbeatAddress = readEndpoint(section, "heartbeats");
            if (!m_settings.peerAddress)
                section.add(*node, "heartbeats is set without peers", "set peers as well, or remove heartbeats");
        }

        void readLoadReports(TomlTableReader& section)
        {
            const toml::node* node = section.find("load_reports");
            if (node == nullptr)
                return;
            m_settings.loadReportAddress = readEndpoint(section, "load_reports");
            if (!m_settings.heartbeatAddress)
                section.add(
                    *node, "load_reports is set without heartbeats", "set heartbeats as well, or remove load_reports");
        }

        void readStore(TomlTableReader& section) { m_settings.storeAddress = readEndpoint(section, "address"); }

        void readPeers(TomlTableReader& section)
        {
            constexpr const char* hint = "write seeds = [\"10.0.0.2:8166\", \"10.0.0.3:8166\"]";
            const toml::node* node = section.require("seeds", "[\"10.0.0.2:8166\"]");
            const toml::array* seeds = node == nullptr ? nullptr : node->as_array();
            if (node != nullptr && seeds == nullptr)
                section.add(*node, "seeds is not a list", hint);
            if (seeds == nullptr)
                return;
            for (const toml::node& seed : *seeds) {
                const auto endpoint = Ipv4Endpoint::parse(seed.value_or<std::string_view>(""));
                if (endpoint)
                    m_settings.peers.push_back(*endpoint);
                else
                    section.add(seed, "a seed is not an address with a port", hint);
            }
        }

        void readLimits(TomlTableReader& section)
        {
            if (const auto megabytes = section.decimal("memory_mb", minMemoryMegabytes, maxMemoryMegabytes, "256"))
                m_settings.memoryMegabytes = static_cast<std::uint32_t>(*megabytes);
        }

        void readBounds(TomlTableReader& section)
        {
            m_settings.configBound = readMilliseconds(section, "config_in_force_ms", m_settings.configBound);
            m_settings.drainBound = readMilliseconds(section, "drain_in_force_ms", m_settings.drainBound);
            if (section.find("evacuation_in_force_ms") != nullptr)
                m_settings.evacuationBound = readMilliseconds(section, "evacuation_in_force_ms", m_settings.drainBound);
            m_settings.warmUpFactor
                = section.decimal("warm_up_factor", 0, maxWarmUpFactor, "1.5").value_or(m_settings.warmUpFactor);
            m_settings.warmUpSlack
                = section.decimal("warm_up_slack", 0, maxWarmUpSlack, "5").value_or(m_settings.warmUpSlack);
            m_settings.stableWindow = readMilliseconds(section, "calm_window_ms", m_settings.stableWindow);
            if (const auto seconds = section.decimal("stop_seconds", 0, maxStopSeconds, "6"))
                m_settings.stopDeadline = std::chrono::milliseconds(static_cast<std::int64_t>(*seconds * 1000));
        }

        std::string m_file;
        Findings m_findings;
        TomlTableReader m_reader;
        EdgeSettings m_settings;
    };

} // namespace

std::variant<EdgeSettings, Findings> parseEdgeSettings(std::string_view text, const std::string& fileName)
{
    try {
        const toml::table root = toml::parse(text);
        return EdgeSettingsReader(root, fileName).read();
    } catch (const toml::parse_error& error) {
        const toml::source_position& begin = error.source().begin;
        Findings findings;
        findings.add({ .place = { .file = fileName, .line = begin.line, .column = begin.column },
            .message = "not valid TOML: " + std::string(error.description()),
            .hint = "correct the syntax; further errors are reported only after that" });
        return findings;
    }
}

std::variant<EdgeSettings, Findings> loadEdgeSettings(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    if (file)
        return parseEdgeSettings(text.str(), path);
    Findings findings;
    findings.add({ .place = { .file = path },
        .message = "the settings file cannot be read",
        .hint = "check that the file exists and that its permissions allow reading" });
    return findings;
}

} // namespace anvilwalk
