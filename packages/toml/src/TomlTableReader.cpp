#include <anvilwalk/toml/TomlTableReader.h>

#include <anvilwalk/toml/Duration.h>

#include <algorithm>
#include <numeric>

namespace anvilwalk {

namespace {

    std::size_t editDistance(std::string_view a, std::string_view b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 1; i <= a.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
            }
        }
        return row[b.size()];
    }

    // Suggests the known key that the given one probably misspells, otherwise lists all known keys.
    std::string hintForKey(std::string_view key, const std::vector<std::string>& knownKeys)
    {
        constexpr std::size_t maxKeyLength = 64;
        constexpr std::size_t maxEditDistance = 2;
        std::string list;
        for (const std::string& candidate : knownKeys) {
            if (key.size() <= maxKeyLength && editDistance(key, candidate) <= maxEditDistance)
                return "write " + candidate;
            list += (list.empty() ? "" : ", ") + candidate;
        }
        return "remove it; the keys here are " + list;
    }

    std::string describeType(const toml::node& node)
    {
        if (node.is_string())
            return "a string";
        if (node.is_integer())
            return "an integer";
        if (node.is_floating_point())
            return "a decimal number";
        if (node.is_boolean())
            return "true or false";
        if (node.is_array())
            return "a list";
        if (node.is_table())
            return "a table";
        return "a date or time";
    }

} // namespace

std::string quoteForMessage(std::string_view text)
{
    constexpr std::size_t maxLength = 80;
    constexpr std::string_view hex = "0123456789abcdef";
    std::string result = "\"";
    for (const char character : text.substr(0, maxLength)) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte == 0x7f) {
            result += "\\x";
            result += hex[byte >> 4U];
            result += hex[byte & 0xFU];
            continue;
        }
        if (character == '"' || character == '\\')
            result += '\\';
        result += character;
    }
    return result + (text.size() > maxLength ? "...\"" : "\"");
}

TomlTableReader::TomlTableReader(const toml::table& table, std::string file, std::string tableName, Findings& findings)
    : m_table(table)
    , m_file(std::move(file))
    , m_tableName(std::move(tableName))
    , m_findings(findings)
{
}

SourcePlace TomlTableReader::placeOf(const toml::source_region& region) const
{
    return { .file = m_file, .line = region.begin.line, .column = region.begin.column };
}

void TomlTableReader::add(const toml::node& node, const std::string& message, const std::string& hint)
{
    m_findings.add({ .place = placeOf(node.source()), .message = message, .hint = hint });
}

void TomlTableReader::addHere(const std::string& message, const std::string& hint)
{
    m_findings.add({ .place = placeOf(m_table.source()), .message = message, .hint = hint });
}

const toml::node* TomlTableReader::find(std::string_view key)
{
    if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end())
        m_knownKeys.emplace_back(key);
    return m_table.get(key);
}

const toml::node* TomlTableReader::require(std::string_view key, const std::string& example)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        addHere(m_tableName + " has no " + std::string(key), "write " + std::string(key) + " = " + example);
    return node;
}

std::optional<std::string> TomlTableReader::text(std::string_view key, const std::string& example)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return std::nullopt;
    if (const auto* value = node->as_string())
        return value->get();
    add(*node, std::string(key) + " is " + describeType(*node) + " instead of a string",
        "write " + std::string(key) + " = " + example);
    return std::nullopt;
}

std::optional<bool> TomlTableReader::boolean(std::string_view key)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return std::nullopt;
    if (const auto* value = node->as_boolean())
        return value->get();
    add(*node, std::string(key) + " is " + describeType(*node) + " instead of true or false",
        "write " + std::string(key) + " = true or " + std::string(key) + " = false, without quotes");
    return std::nullopt;
}

std::optional<std::uint32_t> TomlTableReader::number(
    std::string_view key, std::uint32_t minimum, std::uint32_t maximum, const std::string& example)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return std::nullopt;
    const std::string name(key);
    const auto* value = node->as_integer();
    if (value == nullptr) {
        add(*node, name + " is " + describeType(*node) + " instead of an integer", "write " + name + " = " + example);
        return std::nullopt;
    }
    if (value->get() < minimum || value->get() > maximum) {
        add(*node, name + " = " + std::to_string(value->get()) + " is out of range",
            "write an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(value->get());
}

std::optional<double> TomlTableReader::decimal(
    std::string_view key, double minimum, double maximum, const std::string& example)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return std::nullopt;
    const std::string name(key);
    if (!node->is_number()) {
        add(*node, name + " is " + describeType(*node) + " instead of a number", "write " + name + " = " + example);
        return std::nullopt;
    }
    const double value = node->value<double>().value_or(0);
    if (value < minimum || value > maximum) {
        add(*node, name + " is out of range", "write a number like " + example);
        return std::nullopt;
    }
    return value;
}

std::optional<std::chrono::milliseconds> TomlTableReader::duration(
    std::string_view key, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum)
{
    const toml::node* node = find(key);
    if (node == nullptr)
        return std::nullopt;
    const std::string name(key);
    const std::string range = formatDuration(minimum) + " to " + formatDuration(maximum);
    const auto* value = node->as_string();
    if (value == nullptr) {
        const auto* integer = node->as_integer();
        const std::string example
            = integer != nullptr && integer->get() > 0 ? "\"" + std::to_string(integer->get()) + "s\"" : "\"300s\"";
        add(*node, name + " has no unit", "write " + name + " = " + example + "; units are ms, s, m and h");
        return std::nullopt;
    }
    const auto result = parseDuration(value->get());
    if (!result) {
        add(*node, name + " = " + quoteForMessage(value->get()) + " is not a duration",
            "write a whole number and one of ms, s, m and h, for example " + name + " = \"300s\"");
        return std::nullopt;
    }
    if (*result < minimum || *result > maximum) {
        add(*node, name + " = " + quoteForMessage(value->get()) + " is out of range", "write a duration from " + range);
        return std::nullopt;
    }
    return result;
}

void TomlTableReader::reportUnknownKeys()
{
    for (const auto& [key, node] : m_table) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key.str()) != m_knownKeys.end())
            continue;
        m_findings.add({ .place = placeOf(key.source()),
            .message = "unknown key " + quoteForMessage(key.str()) + " in " + m_tableName,
            .hint = hintForKey(key.str(), m_knownKeys) });
    }
}

} // namespace anvilwalk
