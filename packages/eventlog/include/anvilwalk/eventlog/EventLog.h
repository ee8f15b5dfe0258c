#pragma once

#include <anvilwalk/eventlog/LineWriter.h>
#include <anvilwalk/units.h>

#include <array>
#include <cstdint>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace anvilwalk {

// Kinds of log lines; each has its own budget.
enum class EventKind : std::uint8_t {
    // Start, stop, reload and other changes of the process.
    Process,
    // Contact with the platform's store, lost or regained.
    Store,
    // Routes in force.
    Routes,
    // A target is new, draining, missing, gone, avoided or trusted again.
    Target,
    // A target was chosen for a flow, or another one for a copy of its opening packet.
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
    // Lines of one kind in one second; the rest is counted and reported with the next line of the kind.
    std::array<std::uint32_t, eventKindCount> linesPerSecond { 50, 20, 20, 100, 100, 100, 50 };
    // Written into each line.
    std::string_view balancer;
};

// Writes one JSON object a line: time, kind, event, and fields of the event.
class EventLog {
public:
    EventLog(const EventLogOptions&, LineSink&, const Clock&);

    // Whether a line of this kind is within its budget now. Counts the line as left out if not.
    bool admits(EventKind);

    // Starts a line that admits has allowed. Fields follow by add; end writes it.
    void begin(EventKind, std::string_view event);
    void add(std::string_view name, std::string_view value);
    template <class Number>
    requires std::is_arithmetic_v<Number>
    void add(std::string_view name, Number value)
    {
        fmt::format_to(std::back_inserter(m_line), ",\"{}\":{}", name, value);
    }
    void end();

    // Writes a line if its kind's budget allows it. Fields are pairs of a name and a text or a number.
    template <class... Fields> void write(EventKind kind, std::string_view event, const Fields&... fields)
    {
        if (!admits(kind))
            return;
        begin(kind, event);
        (add(fields.first, fields.second), ...);
        end();
    }

    void flush() { m_sink.flush(); }

private:
    struct Budget {
        std::int64_t second = -1;
        std::uint32_t used = 0;
        std::uint64_t leftOut = 0;
    };

    EventLogOptions m_options;
    LineSink& m_sink;
    const Clock& m_clock;
    std::array<Budget, eventKindCount> m_budgets {};
    fmt::memory_buffer m_line;
};

// A field of a log line.
template <class Value> std::pair<std::string_view, Value> logField(std::string_view name, Value value)
{
    return { name, std::move(value) };
}

} // namespace anvilwalk
