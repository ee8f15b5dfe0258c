#include <caller/Caller.h>
#include <catch2/catch.hpp>
#include <target/TargetHost.h>

#include <map>

using namespace anvilwalk;
using namespace anvilwalk::standins;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const Ipv4Endpoint serviceEndpoint { { 0xcb00710a }, 443 };

std::uint64_t testSeed()
{
    const char* text = std::getenv("ANVILWALK_SEED");
    return text == nullptr ? Catch::rngSeed() : std::strtoull(text, nullptr, 10);
}

CallerOptions callerOptions(const std::string& kind, std::size_t streams)
{
    CallerOptions options;
    options.self = { 0x7f010001 };
    options.service = "dispatch";
    options.serviceEndpoint = serviceEndpoint;
    options.kind = kind;
    options.idPrefix = "c";
    options.streams = streams;
    options.flowsPerSecond = 20;
    options.thinkTime = 100ms;
    options.progressDeadline = 120s;
    options.seed = testSeed();
    return options;
}

TargetOptions targetOptions()
{
    TargetOptions options;
    options.host = "h1";
    options.service = "dispatch";
    options.serviceAddress = serviceEndpoint.address;
    options.servicePort = serviceEndpoint.port;
    options.seed = testSeed() + 1;
    return options;
}

// A caller and a target on a network in simulated time that loses, repeats and delays packets in both directions.
class LossyWorld {
    // Declared first, because the caller and the target start at this time.
    TcpConnection::Time m_now { 1000s };

public:
    LossyWorld(const CallerOptions& callers, double faultRate)
        : caller(callers, m_now)
        , target(targetOptions(), m_now)
        , m_faultRate(faultRate)
        , m_random(testSeed() + 2)
    {
        UNSCOPED_INFO("seed " << testSeed());
    }

    void run(std::chrono::milliseconds duration)
    {
        const auto end = m_now + duration;
        while (m_now < end)
            step();
    }

    void runUntilFinished(std::chrono::milliseconds limit)
    {
        const auto end = m_now + limit;
        while (m_now < end && !caller.finished())
            step();
        REQUIRE(caller.finished());
    }

    json report() const { return caller.report(m_now, true); }

    Caller caller;
    TargetHost target;

private:
    struct InFlight {
        std::vector<std::uint8_t> packet;
        bool toTarget = false;
    };

    void step()
    {
        m_now += 5ms;
        caller.tick(m_now);
        target.tick(m_now);
        launch(caller.takeSegments(), true);
        launch(target.takeSegments(), false);
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
            const InFlight next = m_inFlight.begin()->second;
            m_inFlight.erase(m_inFlight.begin());
            if (next.toTarget)
                target.receive(next.packet, m_now);
            else
                caller.receive(next.packet, m_now);
        }
    }

    void launch(const std::vector<TcpSegment>& segments, bool toTarget)
    {
        for (const TcpSegment& segment : segments) {
            if (chance())
                continue;
            for (int copy = chance() ? 2 : 1; copy > 0; --copy)
                m_inFlight.emplace(m_now + (chance() ? std::chrono::milliseconds(m_random(400)) : 1ms),
                    InFlight { segment.toPacket(), toTarget });
        }
    }

    bool chance() { return m_random() < m_faultRate * 4294967296.0; }

    double m_faultRate;
    pcg32 m_random;
    std::multimap<TcpConnection::Time, InFlight> m_inFlight;
};

std::size_t runsOf(const json& ledger, const std::string& id) { return ledger["ran"].value(id, std::size_t { 0 }); }

} // namespace

// Guards against a mini TCP that hands repeated data to the application, which would look like a doubled booking.
TEST_CASE("Mini TCP runs each booking exactly once despite loss and repeated packets")
{
    LossyWorld world(callerOptions("booking", 0), 0.2);
    world.run(20s);
    world.caller.finish();
    world.runUntilFinished(600s);

    const json report = world.report();
    const json ledger = world.target.ledger();
    INFO(report.dump());
    CHECK(report["answered"] > 100);
    CHECK(report["answered"] == report["requests"]);
    CHECK(report["misdelivered"].empty());
    CHECK(report["broken_flows"].empty());
    for (const json& id : report["ids"]["answered"])
        CHECK(runsOf(ledger, id) == 1);
    CHECK(ledger["ran"].size() == report["answered"]);
}

// Guards against lost, repeated or reordered bytes of long transfers and streams.
TEST_CASE("Mini TCP keeps uploads complete and streams without gaps despite loss")
{
    LossyWorld world(callerOptions("photo", 20), 0.1);
    world.run(20s);
    world.caller.finish();
    world.runUntilFinished(600s);

    const json report = world.report();
    INFO(report.dump());
    CHECK(report["answered"] > 100);
    CHECK(report["updates"] > 200);
    CHECK(report["stream_gaps"] == 0);
    CHECK(report["wrong_sizes"] == 0);
    CHECK(report["broken_flows"].empty());
}

// Guards against a target that refuses a request and runs it all the same.
TEST_CASE("Target does not run what it refuses while shedding")
{
    LossyWorld world(callerOptions("booking", 0), 0);
    world.run(2s);
    world.target.control({ { "shedding", true } }, {});
    world.run(3s);
    world.caller.finish();
    world.runUntilFinished(60s);

    const json report = world.report();
    const json ledger = world.target.ledger();
    CHECK(report["answered"] > 0);
    CHECK(report["refused"] > 0);
    for (const json& id : report["ids"]["refused"])
        CHECK(runsOf(ledger, id) == 0);
}

// Guards against verdicts of process tests that hide lost flows: requests on them are reset, streams fall silent.
TEST_CASE("Caller counts flows as broken when their target no longer knows them")
{
    CallerOptions options = callerOptions("booking", 10);
    options.progressDeadline = 5s;
    LossyWorld world(options, 0);
    world.run(3s);
    REQUIRE(world.report()["broken_flows"].empty());
    world.target = TargetHost(targetOptions(), TcpConnection::Time { 1003s });
    world.run(20s);

    const json report = world.report();
    std::map<std::string, std::size_t> causes;
    for (const json& flow : report["broken_flows"])
        ++causes[flow["kind"].get<std::string>() + " " + flow["cause"].get<std::string>()];
    INFO(report.dump());
    CHECK(causes["stream no_progress"] == 10);
    CHECK(causes["booking reset"] > 0);
}
