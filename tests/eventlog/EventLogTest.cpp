#include <anvilwalk/eventlog.h>
#include <fakes/FakeClock.h>
#include <fakes/RecordedLines.h>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

using namespace anvilwalk;
using namespace std::chrono_literals;

TEST_CASE("EventLog writes one JSON object per line and escapes strings")
{
    fakes::FakeClock clock;
    fakes::RecordedLines sink;
    EventLogOptions options;
    options.balancer = "b\"1";
    EventLog log(options, sink, clock);
    log.write(
        EventKind::Store, "call_failed", logField("error", std::string_view("a\"b\\c\n")), logField("status", 503));
    REQUIRE(sink.lines.size() == 1);
    const std::string& line = sink.lines.front();
    CHECK(line.find(R"("balancer":"b\"1")") != std::string::npos);
    CHECK(line.find(R"("kind":"store","event":"call_failed","error":"a\"b\\c\u000a","status":503})")
        != std::string::npos);
}

// Guards against logging that uses up CPU time needed for forwarding when many flows fail.
TEST_CASE("EventLog limits the lines of each kind and counts suppressed lines")
{
    fakes::FakeClock clock;
    fakes::RecordedLines sink;
    EventLogOptions options;
    options.linesPerSecond.fill(3);
    EventLog log(options, sink, clock);
    for (int line = 0; line < 10; ++line)
        log.write(EventKind::Refusal, "reset");
    log.write(EventKind::Process, "started");
    CHECK(sink.lines.size() == 4);
    clock.advance(1s);
    log.write(EventKind::Refusal, "reset");
    REQUIRE(sink.lines.size() == 5);
    CHECK(sink.lines.back().find("\"lines_left_out\":7") != std::string::npos);
}

// Guards against blocking packet forwarding when the reader of the log has stopped.
TEST_CASE("LineWriter never blocks on a full pipe and counts lost lines")
{
    int ends[2] = {};
    REQUIRE(::pipe(ends) == 0);
    LineWriter writer(ends[1], 8192);
    const std::string line(1000, 'x');
    for (int count = 0; count < 200; ++count) {
        writer.write(line);
        writer.flush();
    }
    CHECK(writer.linesLost() > 0);
    std::string received(262'144, '\0');
    REQUIRE(::fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    CHECK(::read(ends[0], received.data(), received.size()) > 0);
    writer.flush();
    CHECK(::read(ends[0], received.data(), received.size()) > 0);
    ::close(ends[0]);
    ::close(ends[1]);
}
