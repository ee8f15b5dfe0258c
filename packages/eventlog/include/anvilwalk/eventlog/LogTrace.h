#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk {

// One line of a balancer's log that belongs to a trace.
struct LogEvent {
    std::int64_t timeMs = 0;
    std::string balancer;
    // The line as read, starting at its first brace.
    std::string line;
};

// All log events of one request or flow, collected from the logs of one or more balancers.
struct LogTrace {
    std::vector<std::string> flows {};
    std::vector<std::string> targets {};
    // Sorted by time; events at the same time are in reading order.
    std::vector<LogEvent> events {};
    // Non-empty lines that are not valid log events.
    std::uint64_t invalidLines = 0;
};

// Collects the log lines of a request id or flow name, and the state changes of the flow's targets while it was open.
// Logs may be truncated or mixed with other text.
class LogTraceReader {
public:
    explicit LogTraceReader(std::string id)
        : m_id(std::move(id))
    {
    }

    void read(std::istream&);
    // Returns the trace over all input read so far.
    LogTrace finish();

private:
    std::string m_id;
    std::vector<LogEvent> m_events;
    std::uint64_t m_invalidLines = 0;
};

} // namespace anvilwalk
