#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace anvilwalk {

// Parses "300s", "250ms", "5m" or "8h"; nothing on any other text.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);
// Writes a duration with the largest unit that keeps it exact.
std::string formatDuration(std::chrono::milliseconds);

} // namespace anvilwalk
