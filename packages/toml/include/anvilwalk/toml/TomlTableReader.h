#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace anvilwalk {

// Reads and validates the keys of one TOML table and adds a finding for each error. Every key that is looked up
// counts as known, present or not; reportUnknownKeys reports the others.
class TomlTableReader {
public:
    TomlTableReader(const toml::table&, std::string file, std::string tableName, Findings&);

    // Returns the node of a key, or null if it is absent. Marks the key as known.
    const toml::node* find(std::string_view key);
    // Like find, but also adds a finding if the key is absent.
    const toml::node* require(std::string_view key, const std::string& example);

    // The functions below return std::nullopt if the key is absent. A value of the wrong type or out of range is a
    // finding, and std::nullopt is returned.
    std::optional<std::string> text(std::string_view key, const std::string& example);
    std::optional<bool> boolean(std::string_view key);
    // Reads an integer within the bounds, both inclusive. The example appears in the hint for a wrong type.
    std::optional<std::uint32_t> number(
        std::string_view key, std::uint32_t minimum, std::uint32_t maximum, const std::string& example);
    // Reads an integer or floating-point number within the bounds, both inclusive.
    std::optional<double> decimal(std::string_view key, double minimum, double maximum, const std::string& example);
    // Reads a string such as "300s" within the bounds, both inclusive; see parseDuration.
    std::optional<std::chrono::milliseconds> duration(
        std::string_view key, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum);

    // Adds a finding at the position of the node.
    void add(const toml::node&, const std::string& message, const std::string& hint);
    // Adds a finding at the position of the table.
    void addHere(const std::string& message, const std::string& hint);
    void reportUnknownKeys();
    SourcePlace placeOf(const toml::source_region&) const;

private:
    const toml::table& m_table;
    std::string m_file;
    std::string m_tableName;
    Findings& m_findings;
    std::vector<std::string> m_knownKeys;
};

// Quotes a text for a message, truncated to 80 bytes. Control characters are escaped, so that it is safe to print
// on a terminal.
std::string quoteForMessage(std::string_view text);

} // namespace anvilwalk
