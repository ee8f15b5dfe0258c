#include <anvilwalk/process.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace anvilwalk;

namespace {

const std::string validText = R"([balancer]
id = "b1"
data_centre = "lima-a"
packet_address = "10.0.0.1:6000"
relay_address = "10.0.0.1:6001"
control_address = "10.0.0.1:6002"
[platform]
url = "http://10.0.0.9:8080"
[metrics]
address = "10.0.0.1:6003"
)";

Findings parseInvalidSettings(const std::string& text)
{
    const auto result = parseSettings(text, "b.toml");
    REQUIRE(std::holds_alternative<Findings>(result));
    return std::get<Findings>(result);
}

} // namespace

TEST_CASE("Settings with only the required keys get default values")
{
    const auto result = parseSettings(validText, "b.toml");
    REQUIRE(std::holds_alternative<Settings>(result));
    const auto& settings = std::get<Settings>(result);
    CHECK(settings.balancer == BalancerId("b1"));
    CHECK(settings.dataCentre == DataCentreId("lima-a"));
    CHECK(settings.packetAddress == Ipv4Endpoint { { 0x0a000001 }, 6000 });
    CHECK(settings.threads == 2);
    CHECK(settings.flowCapacity == 300'000);
    CHECK(settings.drainDeadline == std::chrono::seconds(30));
    CHECK(settings.platformTimeout == std::chrono::milliseconds(1000));
    CHECK_FALSE(settings.refusalGateway);
    CHECK(settings.traceOutput.empty());
}

TEST_CASE("Settings read every optional key")
{
    const auto result = parseSettings(validText + R"([refusal]
gateway = "10.0.0.8:7001"
[log]
level = "debug"
[tracing]
sample_every = 10
output = "-"
[peers]
seeds = ["10.0.0.2:6002", "10.0.0.3:6002"]
)",
        "b.toml");
    REQUIRE(std::holds_alternative<Settings>(result));
    const auto& settings = std::get<Settings>(result);
    CHECK(settings.refusalGateway == Ipv4Endpoint { { 0x0a000008 }, 7001 });
    CHECK(settings.logLevel == "debug");
    CHECK(settings.traceSampleEvery == 10);
    CHECK(settings.traceOutput == "-");
    CHECK(settings.seeds.size() == 2);
}

// Guards against a parser that stops at the first error, so that an operator has to correct a file one error at a time.
TEST_CASE("Settings report all errors together, each with its position and a hint")
{
    const Findings findings = parseInvalidSettings(R"([balancer]
id = ""
data_centre = 7
packet_address = "10.0.0.1"
relay_address = "10.0.0.1:6001"
control_address = "10.0.0.1:6002"
threads = 0
flow_capacity = "many"
colour = "red"
[metrics]
address = "10.0.0.1:6002"
[log]
level = "loud"
[peers]
seeds = ["10.0.0.2:6002", "nowhere"]
[weather]
)");
    CHECK(findings.toString() == R"(b.toml: Key "url" is missing in [platform]. (use the form "http://10.0.0.1:8080")
b.toml:2:6: "id" has 0 characters. (use 1 to 64 characters)
b.toml:3:15: "data_centre" is not a string. (set the name of the data centre of this balancer)
b.toml:4:18: "packet_address" is not an IPv4 address with a port. (use the form "10.0.0.1:7000")
b.toml:7:11: "threads" is 0, which is out of range. (use an integer from 1 to 64)
b.toml:8:17: "flow_capacity" is not an integer. (use an integer from 1000 to 10000000)
b.toml:9:1: Unknown key "colour" in [balancer]. (use control_address, data_centre, drain_deadline_seconds, flow_capacity, id, packet_address, relay_address, threads)
b.toml:11:11: "address" has the same value as "control_address". (use a different port for each)
b.toml:13:9: Unknown log level "loud". (use debug, error, info, trace, warn)
b.toml:15:27: "seeds" is not an IPv4 address with a port. (use the form "10.0.0.1:7000")
b.toml:16:2: Unknown section "weather". (use balancer, platform, refusal, metrics, log, tracing or peers)
)");
}

TEST_CASE("Settings report a missing key at the position of its section")
{
    std::string text = validText;
    text.erase(text.find("id = "), std::string("id = \"b1\"\n").size());
    CHECK(parseInvalidSettings(text).toString()
        == "b.toml:1:1: Key \"id\" is missing in [balancer]. (set a name that no other balancer has)\n");
}

TEST_CASE("Settings report the position of a TOML syntax error")
{
    const Findings findings = parseInvalidSettings(validText + "[log\n");
    REQUIRE(findings.all().size() == 1);
    CHECK(findings.all().front().place.line == 11);
}

TEST_CASE("Settings report the path of a file that cannot be read")
{
    const auto result = loadSettings("/nonexistent/settings.toml");
    REQUIRE(std::holds_alternative<Findings>(result));
    CHECK(std::get<Findings>(result).all().front().place.file == "/nonexistent/settings.toml");
}

// Guards against a crash on a corrupt settings file and against a rejection without findings. Mutates valid text at
// random positions.
TEST_CASE("Mutated settings are parsed or rejected with findings")
{
    const bool passed = rc::check("mutated settings do not crash the parser", [] {
        std::string text = validText;
        const auto changes = *rc::gen::inRange(1, 8);
        for (int change = 0; change < changes; ++change) {
            const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto letter = *rc::gen::arbitrary<char>();
            if (*rc::gen::arbitrary<bool>())
                text[place] = letter;
            else
                text.insert(place, 1, letter);
        }
        const auto result = parseSettings(text, "b.toml");
        if (const auto* findings = std::get_if<Findings>(&result))
            RC_ASSERT(!findings->empty());
    });
    CHECK(passed);
}
