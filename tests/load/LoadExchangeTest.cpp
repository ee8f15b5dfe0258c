#include "LoadHarness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

constexpr std::uint32_t firstAddress = 0x7f000001;
constexpr std::chrono::milliseconds interval { 20 };

std::uint16_t freePort()
{
    asio::io_context context;
    const udp::socket socket(context, udp::endpoint(asio::ip::address_v4(firstAddress), 0));
    return socket.local_endpoint().port();
}

// Balancer 1 has been running for the longest time.
Member member(std::uint32_t number)
{
    return { .id = balancerId(number),
        .dataCentre = loadDataCentre,
        .viewAddress = { .address = { firstAddress + number - 1 }, .port = 8166 },
        .startedMs = 1000 + number };
}

struct Balancer {
    Balancer(
        std::uint32_t number, const LoadExchangeOptions& options, asio::io_context& context, std::uint64_t targetCount)
        : members(MemberListOptions {}, member(number))
        , targets(targetCount)
        , exchange(options, context, members, targets.catalogue, clock)
    {
    }
    void meet(std::uint32_t other) { members.handle({ .sender = member(other) }, clock.now()); }

    SystemClock clock;
    MemberList members;
    LoadTargets targets;
    LoadExchange exchange;
};

// Balancers on loopback addresses that all use the same port, as on the platform.
class Fixture {
public:
    Balancer& add(std::uint32_t number, std::uint64_t targetCount = 3, std::size_t bytesPerSecond = 128'000)
    {
        const LoadExchangeOptions options { .address = { .address = { firstAddress + number - 1 }, .port = m_port },
            .interval = interval,
            .maxSummaryBytesPerSecond = bytesPerSecond };
        m_balancers.push_back(std::make_unique<Balancer>(number, options, m_context, targetCount));
        LoadExchange& exchange = m_balancers.back()->exchange;
        REQUIRE(isOk(exchange.open()));
        exchange.setEnabled(true);
        asio::co_spawn(m_context, exchange.receive(), asio::detached);
        asio::co_spawn(m_context, exchange.run(), asio::detached);
        return *m_balancers.back();
    }
    void run(std::chrono::milliseconds time) { m_context.run_for(time); }
    // Runs until a condition holds. False if it does not hold in time.
    bool await(const std::function<bool()>& condition)
    {
        constexpr int attempts = 1000;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            if (condition())
                return true;
            run(interval / 2);
        }
        return false;
    }
    void send(const std::string& bytes, std::uint32_t receiver)
    {
        udp::socket socket(m_context, udp::v4());
        socket.send_to(asio::buffer(bytes), udp::endpoint(asio::ip::address_v4(firstAddress + receiver - 1), m_port));
    }

private:
    std::uint16_t m_port = freePort();
    asio::io_context m_context;
    std::vector<std::unique_ptr<Balancer>> m_balancers;
};

} // namespace

// Guards against figures that do not reach the other balancers, or reach them with their own part.
TEST_CASE("Two balancers share their figures")
{
    Fixture fixture;
    Balancer& first = fixture.add(1);
    Balancer& second = fixture.add(2);
    first.meet(2);
    second.meet(1);
    first.targets.at(1).activity.openFlows = 5;
    second.targets.at(1).activity.openFlows = 7;
    second.targets.at(2).activity.openFlows = 3;
    CHECK(fixture.await([&] { return first.targets.at(2).shared.openFlows == 3; }));
    CHECK(first.targets.at(1).shared.openFlows == 7);
    CHECK(fixture.await([&] { return second.targets.at(1).shared.openFlows == 5; }));
    CHECK(second.targets.at(2).shared.openFlows == 0);
    CHECK(first.targets.catalogue.sharedLoad().balancers == 2);
}

// Guards against messages that grow with the square of the number of balancers.
TEST_CASE("Only the two longest-running members send summaries")
{
    Fixture fixture;
    std::vector<Balancer*> balancers;
    for (std::uint32_t number = 1; number <= 4; ++number)
        balancers.push_back(&fixture.add(number));
    for (Balancer* balancer : balancers) {
        for (std::uint32_t other = 1; other <= 4; ++other)
            balancer->meet(other);
    }
    balancers[3]->targets.at(1).activity.openFlows = 9;
    CHECK(fixture.await([&] { return balancers[2]->targets.at(1).shared.openFlows == 9; }));
    CHECK(fixture.await([&] { return balancers[1]->exchange.counters().summariesSent >= 3; }));
    CHECK(balancers[0]->exchange.counters().summariesSent > 0);
    CHECK(balancers[2]->exchange.counters().summariesSent == 0);
    CHECK(balancers[3]->exchange.counters().summariesSent == 0);
    CHECK(balancers[3]->exchange.counters().reportsSent > 0);
}

// Guards against a member that has just started, knows one other only and takes itself for a collector: its sums must
// not replace the complete ones.
TEST_CASE("The summary of a member that knows only one other does not replace the complete one")
{
    Fixture fixture;
    std::vector<Balancer*> balancers;
    for (std::uint32_t number = 1; number <= 4; ++number)
        balancers.push_back(&fixture.add(number));
    for (std::uint32_t other = 1; other <= 4; ++other) {
        balancers[0]->meet(other);
        balancers[1]->meet(other);
        balancers[2]->meet(other);
    }
    balancers[3]->meet(3);
    balancers[0]->targets.at(1).activity.openFlows = 9;
    CHECK(fixture.await([&] { return balancers[2]->targets.catalogue.sharedLoad().balancers == 3; }));
    CHECK(fixture.await([&] { return balancers[3]->exchange.counters().summariesSent >= 3; }));
    for (int round = 0; round < 10; ++round) {
        fixture.run(interval);
        CHECK(balancers[2]->targets.catalogue.sharedLoad().balancers == 3);
        CHECK(balancers[2]->targets.at(1).shared.openFlows == 9);
    }
}

// Guards against a collector that loads the network and itself by the number of balancers times the number of targets.
TEST_CASE("Large summaries are sent within the byte rate")
{
    constexpr std::uint64_t targetCount = 300;
    constexpr std::size_t rate = 5'000;
    Fixture fixture;
    Balancer& first = fixture.add(1, targetCount, rate);
    Balancer& second = fixture.add(2, targetCount, rate);
    first.meet(2);
    second.meet(1);
    for (std::uint64_t number = 1; number <= targetCount; ++number)
        first.targets.at(number).activity.openFlows = 1000;
    const LoadExchangeCounters& counters = first.exchange.counters();
    CHECK(fixture.await([&] { return counters.summariesSent > 0; }));
    const MonotonicTime start = first.clock.now();
    const std::uint64_t summaries = counters.summariesSent;
    const std::uint64_t reports = counters.reportsSent;
    const std::uint64_t bytes = counters.bytesSent;
    CHECK(fixture.await([&] { return counters.reportsSent >= reports + 20; }));
    const double seconds = std::chrono::duration<double>(first.clock.now() - start).count();
    // The bytes also hold the reports to the other collector, which are a little smaller than the summaries.
    const auto messages = static_cast<double>(counters.summariesSent - summaries + counters.reportsSent - reports);
    const double messageBytes = static_cast<double>(counters.bytesSent - bytes) / messages;
    const double summaryBytes = static_cast<double>(counters.summariesSent - summaries) * messageBytes;
    CHECK(messageBytes > 2000);
    CHECK(summaryBytes <= 1.2 * (rate * seconds + rate));
    CHECK(counters.summariesSent - summaries < counters.reportsSent - reports);
    // It resumes as soon as it has saved enough.
    CHECK(fixture.await([&] { return counters.summariesSent >= summaries + 2; }));
}

// Guards against summaries that are never sent because one exceeds the rate of a second.
TEST_CASE("A summary larger than the bytes of a second is sent once enough time has passed")
{
    Fixture fixture;
    Balancer& first = fixture.add(1, 300, 4'000);
    first.meet(2);
    for (std::uint64_t number = 1; number <= 300; ++number)
        first.targets.at(number).activity.openFlows = 1000;
    CHECK(fixture.await([&] { return first.exchange.counters().summariesSent >= 2; }));
}

// Guards against counts of the time before, which may be hours, in the first report: their mean would count as the
// present response time.
TEST_CASE("Responses from before the exchange was enabled are not reported")
{
    Fixture fixture;
    Balancer& first = fixture.add(1);
    Balancer& second = fixture.add(2);
    first.exchange.setEnabled(false);
    second.exchange.setEnabled(false);
    first.meet(2);
    second.meet(1);
    first.targets.at(1).activity.responses = 1000;
    first.targets.at(1).activity.responseTimeSum = 100s;
    first.targets.at(2).activity.openFlows = 1;
    fixture.run(3 * interval);
    CHECK(first.exchange.counters().reportsSent == 0);
    first.exchange.setEnabled(true);
    second.exchange.setEnabled(true);
    CHECK(fixture.await([&] { return second.targets.at(2).shared.openFlows == 1; }));
    CHECK(second.targets.at(1).shared.responseTime == 0ms);
}

// Guards against messages of another release that stop the exchange or vanish without a trace.
TEST_CASE("Messages that cannot be decoded are counted and passed to the handler")
{
    Fixture fixture;
    Balancer& first = fixture.add(1);
    std::string error;
    first.exchange.onMalformed([&](const Error& malformed) { error = malformed.message; });
    fixture.send("not a load message", 1);
    fixture.send(std::string(2000, 'x'), 1);
    CHECK(fixture.await([&] { return first.exchange.counters().malformed == 2; }));
    CHECK(error.find("invalid load message") == 0);
    LoadReport report { .header = loadHeader(2, 1), .targets = {} };
    fixture.send(encodeLoadMessage(report).at(0), 1);
    CHECK(fixture.await([&] { return first.exchange.counters().received == 1; }));
}

// Guards against figures of another data centre, whose balancers send their flows to other targets first.
TEST_CASE("Messages of another data centre are ignored")
{
    Fixture fixture;
    Balancer& first = fixture.add(1);
    LoadSummary summary {
        .header = loadHeader(2, 1), .balancers = 2, .targets = { { .token = tokenOfTarget(1), .openFlows = 5 } }
    };
    summary.header.dataCentre = DataCentreId("lima-b");
    fixture.send(encodeLoadMessage(summary).at(0), 1);
    CHECK(fixture.await([&] { return first.exchange.counters().received == 1; }));
    CHECK_FALSE(first.targets.catalogue.sharedLoad().fresh);
    CHECK(first.targets.at(1).shared.openFlows == 0);
}
