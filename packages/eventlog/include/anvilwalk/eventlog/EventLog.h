#pragma once

#include <anvilwalk/eventlog/LineWriter.h>
#include <anvilwalk/units.h>

#include <array>
#include <cstdint>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace anvilwalk {

// Kinds of log lines; each has its own rate limit.
enum class EventKind : std::uint8_t {
    // Start, stop, reload and other changes of the process.
    Process,
    // Connection to the platform's store was lost or restored.
    Store,
    // New routes are in force, or were rejected as unusable.
    Routes,
    // Change of a target's state: ready, draining, missing, gone, avoided after a failure ("doubted") or used again
    // ("trusted").
    Target,
    // A target was chosen for a flow, or again for a repeated opening packet.
    Placement,
    // A request's first packet was forwarded.
    Request,
    // A flow was refused or reset, or packets of it were dropped.
    Refusal,
    Count,
};

inline constexpr std::size_t eventKindCount = static_cast<std::size_t>(EventKind::Count);

std::string_view toString(EventKind);

struct EventLogOptions {
    // Maximum lines per second for each kind. Excess lines are suppressed; the next line of the kind reports their
    // count.
    std::array<std::uint32_t, eventKindCount> linesPerSecond { 50, 20, 20, 100, 100, 100, 50 };
    // Balancer id, written into each line.
    std::string_view balancer;
};

// Writes one JSON object per line: time, balancer, kind, event and the event's fields.
class EventLog {
public:
    EventLog(const EventLogOptions&, LineSink&, const Clock&);

    // Returns whether the rate limit allows a line of this kind now, and counts the line as written or suppressed.
    bool admit(EventKind);

    // Starts a line for which admit() returned true. add() appends fields; end() writes the line.
    void begin(EventKind, std::string_view event);
    void add(std::string_view name, std::string_view value);
    template <class Number>
    requires std::is_arithmetic_v<Number>
    void add(std::string_view name, Number value)
    {
        fmt::format_to(std::back_inserter(m_line), ",\"{}\":{}", name, value);
    }
    void end();

    // Writes a line if the rate limit of its kind allows it. Fields are pairs of a name and a string or number.
    template <class... Fields> void write(EventKind kind, std::string_view event, const Fields&... fields)
    {
        if (!admit(kind))
            return;
        begin(kind, event);
        (add(fields.first, fields.second), ...);
        end();
    }

    void flush() { m_sink.flush(); }

private:
    struct RateLimit {
        std::int64_t second = -1;
        std::uint32_t used = 0;
        std::uint64_t suppressed = 0;
    };

    EventLogOptions m_options;
    LineSink& m_sink;
    const Clock& m_clock;
    std::array<RateLimit, eventKindCount> m_rateLimits {};
    fmt::memory_buffer m_line;
};

// Makes a field for EventLog::write.
template <class Value> std::pair<std::string_view, Value> logField(std::string_view name, Value value)
{
    return { name, std::move(value) };
}

} // namespace anvilwalk
