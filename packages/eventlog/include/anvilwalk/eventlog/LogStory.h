#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk {

// One line of a balancer's log that belongs to a story.
struct LogEvent {
    std::int64_t timeMs = 0;
    std::string balancer;
    // The line as it was read, from its first brace.
    std::string line;
};

// All that the logs of some balancers say of one request or flow.
struct LogStory {
    std::vector<std::string> flows {};
    std::vector<std::string> targets {};
    // By time, then in the order of the files.
    std::vector<LogEvent> events {};
    // Lines that hold no log event.
    std::uint64_t badLines = 0;
};

// Collects the lines about a request's id or a flow's name from logs that may be cut or mixed with other text, and the
// changes of the flow's targets while it was open.
class LogStoryReader {
public:
    explicit LogStoryReader(std::string id)
        : m_id(std::move(id))
    {
    }

    void read(std::istream&);
    // The story over everything that was read.
    LogStory finish();

private:
    std::string m_id;
    std::vector<LogEvent> m_events;
    std::uint64_t m_badLines = 0;
};

} // namespace anvilwalk
