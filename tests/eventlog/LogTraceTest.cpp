#include <anvilwalk/eventlog.h>

#include <catch2/catch.hpp>
#include <sstream>

using namespace anvilwalk;

namespace {

const std::string firstLog
    = R"(  0.07 a-1 {"time_ms":100,"balancer":"a-1","kind":"placement","event":"placed","flow":"c:1>s:2","target":"i-1"}
{"time_ms":110,"balancer":"a-1","kind":"request","event":"forwarded","request":"8d80","flow":"c:1>s:2"}
{"time_ms":120,"balancer":"a-1","kind":"request","event":"forwarded","request":"9999","flow":"c:7>s:2"}
some other text
{"time_ms":"late","kind":"target"}
{"time_ms":130,"balan
)";

const std::string secondLog = R"({"time_ms":140,"balancer":"a-2","kind":"target","event":"gone","target":"i-1"}
{"time_ms":105,"balancer":"a-2","kind":"target","event":"doubted","target":"i-2"}
{"time_ms":9000,"balancer":"a-2","kind":"target","event":"ready","target":"i-1"}
{"time_ms":150,"balancer":"a-2","kind":"refusal","event":"reset","flow":"c:1>s:2","reason":"target_gone"}
)";

LogTrace traceOf(const std::string& id)
{
    LogTraceReader reader(id);
    std::istringstream first(firstLog);
    std::istringstream second(secondLog);
    reader.read(second);
    reader.read(first);
    return reader.finish();
}

} // namespace

TEST_CASE("LogTraceReader finds the flow of a request across balancers, sorted by time")
{
    const LogTrace trace = traceOf("8d80");
    CHECK(trace.flows == std::vector<std::string> { "c:1>s:2" });
    CHECK(trace.targets == std::vector<std::string> { "i-1" });
    std::vector<std::int64_t> times;
    for (const LogEvent& event : trace.events)
        times.push_back(event.timeMs);
    CHECK(times == std::vector<std::int64_t> { 100, 110, 140, 150 });
    CHECK(trace.events.back().balancer == "a-2");
    CHECK(trace.invalidLines == 3);
}

TEST_CASE("LogTraceReader finds a flow by its name and returns nothing for an unknown id")
{
    CHECK(traceOf("c:1>s:2").events.size() == 4);
    CHECK(traceOf("0000").events.empty());
    CHECK(traceOf("").events.empty());
}
