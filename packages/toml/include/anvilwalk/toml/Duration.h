#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace anvilwalk {

// Parses a whole number with a unit: "300s", "250ms", "5m" or "8h". Returns std::nullopt for any other text or
// on overflow.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);
// Formats a duration in the largest unit that represents it exactly.
std::string formatDuration(std::chrono::milliseconds);

} // namespace anvilwalk
