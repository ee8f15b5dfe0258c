#include <anvilwalk/eventlog/LogTrace.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace anvilwalk {

namespace {

    using nlohmann::json;

    // Target state changes up to this long before the first and after the last line of the flow are included.
    constexpr std::int64_t targetMarginMs = 5'000;

    // Returns a string field; empty if it is absent or not a string.
    std::string textOf(const json& event, const char* name)
    {
        const auto field = event.find(name);
        return field != event.end() && field->is_string() ? field->get<std::string>() : std::string();
    }

    bool isEvent(const json& value)
    {
        if (!value.is_object())
            return false;
        const auto time = value.find("time_ms");
        return time != value.end() && time->is_number_integer() && !textOf(value, "kind").empty();
    }

    struct EventSelection {
        std::set<std::string> flows {};
        std::set<std::string> targets {};
        std::int64_t firstMs = 0;
        std::int64_t lastMs = 0;
        // For each event, by index, whether it belongs to the trace.
        std::vector<bool> selected {};
    };

    std::set<std::string> flowsOf(const std::vector<json>& events, const std::string& id)
    {
        std::set<std::string> flows;
        if (id.empty())
            return flows;
        for (const json& event : events) {
            if (textOf(event, "request") == id || textOf(event, "flow") == id)
                flows.insert(textOf(event, "flow"));
        }
        flows.erase("");
        return flows;
    }

    EventSelection selectFlowEvents(const std::vector<json>& events, const std::string& id)
    {
        EventSelection result { .flows = flowsOf(events, id), .selected = std::vector<bool>(events.size()) };
        bool first = true;
        for (std::size_t index = 0; index < events.size(); ++index) {
            if (!result.flows.contains(textOf(events[index], "flow")))
                continue;
            result.selected[index] = true;
            const std::string target = textOf(events[index], "target");
            if (!target.empty())
                result.targets.insert(target);
            const std::int64_t time = events[index]["time_ms"].get<std::int64_t>();
            result.firstMs = first ? time : std::min(result.firstMs, time);
            result.lastMs = first ? time : std::max(result.lastMs, time);
            first = false;
        }
        return result;
    }

    void selectTargetEvents(const std::vector<json>& events, EventSelection& selection)
    {
        for (std::size_t index = 0; index < events.size(); ++index) {
            const std::int64_t time = events[index]["time_ms"].get<std::int64_t>();
            if (time < selection.firstMs - targetMarginMs || time > selection.lastMs + targetMarginMs)
                continue;
            if (textOf(events[index], "kind") == "target"
                && selection.targets.contains(textOf(events[index], "target")))
                selection.selected[index] = true;
        }
    }

} // namespace

void LogTraceReader::read(std::istream& input)
{
    std::string line;
    while (std::getline(input, line)) {
        const std::size_t brace = line.find('{');
        if (brace == std::string::npos) {
            if (!line.empty())
                ++m_invalidLines;
            continue;
        }
        const json event = json::parse(line.begin() + static_cast<std::ptrdiff_t>(brace), line.end(), nullptr, false);
        if (!isEvent(event)) {
            ++m_invalidLines;
            continue;
        }
        m_events.push_back({ .timeMs = event["time_ms"].get<std::int64_t>(),
            .balancer = textOf(event, "balancer"),
            .line = line.substr(brace) });
    }
}

LogTrace LogTraceReader::finish()
{
    std::vector<json> parsed;
    parsed.reserve(m_events.size());
    for (const LogEvent& event : m_events)
        parsed.push_back(json::parse(event.line));
    EventSelection selection = selectFlowEvents(parsed, m_id);
    selectTargetEvents(parsed, selection);
    LogTrace trace { .flows = { selection.flows.begin(), selection.flows.end() },
        .targets = { selection.targets.begin(), selection.targets.end() },
        .invalidLines = m_invalidLines };
    for (std::size_t index = 0; index < m_events.size(); ++index) {
        if (selection.selected[index])
            trace.events.push_back(m_events[index]);
    }
    std::stable_sort(trace.events.begin(), trace.events.end(),
        [](const LogEvent& a, const LogEvent& b) { return a.timeMs < b.timeMs; });
    return trace;
}

} // namespace anvilwalk
