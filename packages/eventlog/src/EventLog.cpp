#include <anvilwalk/eventlog/EventLog.h>

#include <chrono>
#include <utility>

namespace anvilwalk {

namespace {

    void appendEscaped(fmt::memory_buffer& line, std::string_view text)
    {
        constexpr unsigned char firstPrintable = 0x20;
        for (const char character : text) {
            const auto byte = static_cast<unsigned char>(character);
            if (character == '"' || character == '\\') {
                line.push_back('\\');
                line.push_back(character);
            } else if (byte < firstPrintable) {
                fmt::format_to(std::back_inserter(line), "\\u{:04x}", byte);
            } else {
                line.push_back(character);
            }
        }
    }

    std::int64_t unixMilliseconds()
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    }

} // namespace

std::string_view toString(EventKind kind)
{
    static constexpr std::array<std::string_view, eventKindCount> names { "process", "store", "routes", "target",
        "placement", "request", "refusal" };
    return names[static_cast<std::size_t>(kind)];
}

EventLog::EventLog(const EventLogOptions& options, LineSink& sink, const Clock& clock)
    : m_options(options)
    , m_sink(sink)
    , m_clock(clock)
{
}

bool EventLog::admit(EventKind kind)
{
    RateLimit& rateLimit = m_rateLimits[static_cast<std::size_t>(kind)];
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(m_clock.now().time_since_epoch()).count();
    if (rateLimit.second != second) {
        rateLimit.second = second;
        rateLimit.used = 0;
    }
    if (rateLimit.used >= m_options.linesPerSecond[static_cast<std::size_t>(kind)]) {
        ++rateLimit.suppressed;
        return false;
    }
    ++rateLimit.used;
    return true;
}

void EventLog::begin(EventKind kind, std::string_view event)
{
    m_line.clear();
    fmt::format_to(std::back_inserter(m_line), "{{\"time_ms\":{},\"balancer\":\"", unixMilliseconds());
    appendEscaped(m_line, m_options.balancer);
    fmt::format_to(std::back_inserter(m_line), "\",\"kind\":\"{}\",\"event\":\"{}\"", toString(kind), event);
    RateLimit& rateLimit = m_rateLimits[static_cast<std::size_t>(kind)];
    if (const std::uint64_t suppressed = std::exchange(rateLimit.suppressed, 0); suppressed > 0)
        add("lines_left_out", suppressed);
}

void EventLog::add(std::string_view name, std::string_view value)
{
    fmt::format_to(std::back_inserter(m_line), ",\"{}\":\"", name);
    appendEscaped(m_line, value);
    m_line.push_back('"');
}

void EventLog::end()
{
    m_line.push_back('}');
    m_sink.write({ m_line.data(), m_line.size() });
}

} // namespace anvilwalk
