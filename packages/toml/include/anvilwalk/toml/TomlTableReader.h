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

// Reads the keys of one TOML table and records a finding for each fault. Every key that is read counts as
// known; reportUnknownKeys reports the others.
class TomlTableReader {
public:
    TomlTableReader(const toml::table&, std::string file, std::string what, Findings&);

    // The node of a key, or null. Makes the key known.
    const toml::node* find(std::string_view key);
    // As find, and an absent key is a finding.
    const toml::node* require(std::string_view key, const std::string& example);

    std::optional<std::string> text(std::string_view key, const std::string& example);
    std::optional<bool> boolean(std::string_view key);
    // An integer in the range; anything else is a finding that names the example.
    std::optional<std::uint32_t> number(
        std::string_view key, std::uint32_t least, std::uint32_t most, const std::string& example);
    // A number with or without a fraction in the range.
    std::optional<double> decimal(std::string_view key, double least, double most, const std::string& example);
    std::optional<std::chrono::milliseconds> duration(
        std::string_view key, std::chrono::milliseconds least, std::chrono::milliseconds most);

    void add(const toml::node&, const std::string& message, const std::string& hint);
    // A finding that concerns the table itself.
    void addHere(const std::string& message, const std::string& hint);
    void reportUnknownKeys();
    SourcePlace placeOf(const toml::source_region&) const;

private:
    const toml::table& m_table;
    std::string m_file;
    std::string m_what;
    Findings& m_findings;
    std::vector<std::string> m_known;
};

// A text as a quoted TOML string; control characters are escaped, so that it is safe on a terminal.
std::string quoteForMessage(std::string_view text);

} // namespace anvilwalk
