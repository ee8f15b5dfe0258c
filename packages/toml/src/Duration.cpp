#include <anvilwalk/toml/Duration.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace anvilwalk {

namespace {

    struct Unit {
        std::string_view name;
        std::int64_t milliseconds;
    };
    // parseDuration takes the first matching suffix, so "ms" must precede "s".
    constexpr std::array<Unit, 4> units { Unit { "ms", 1 }, Unit { "s", 1000 }, Unit { "m", 60'000 },
        Unit { "h", 3'600'000 } };

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    for (const Unit& unit : units) {
        if (text.size() <= unit.name.size() || text.substr(text.size() - unit.name.size()) != unit.name)
            continue;
        const std::string_view digits = text.substr(0, text.size() - unit.name.size());
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        if (error != std::errc {} || end != digits.data() + digits.size() || value < 0
            || value > std::numeric_limits<std::int64_t>::max() / unit.milliseconds)
            return std::nullopt;
        return std::chrono::milliseconds(value * unit.milliseconds);
    }
    return std::nullopt;
}

std::string formatDuration(std::chrono::milliseconds duration)
{
    for (auto unit = units.rbegin(); unit != units.rend(); ++unit) {
        if (duration.count() % unit->milliseconds == 0 && duration.count() > 0)
            return std::to_string(duration.count() / unit->milliseconds) + std::string(unit->name);
    }
    return std::to_string(duration.count()) + "ms";
}

} // namespace anvilwalk
