#include <anvilwalk-edge/EdgeSettings.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

const std::string validText = R"([balancer]
id = "front-lima-a-1"
data_centre = "lima-a"
[listen]
packets = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
metrics = "10.1.0.10:9464"
[store]
address = "10.200.1.7:8169"
[limits]
memory_mb = 80
[bounds]
config_in_force_ms = 5000
drain_in_force_ms = 4500
evacuation_in_force_ms = 6000
warm_up_factor = 1.5
warm_up_slack = 5
calm_window_ms = 4000
stop_seconds = 2.5
)";

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = validText;
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

Findings findingsOf(const std::string& text)
{
    const auto result = parseEdgeSettings(text, "edge.toml");
    REQUIRE(std::holds_alternative<Findings>(result));
    return std::get<Findings>(result);
}

} // namespace

TEST_CASE("parseEdgeSettings reads every key")
{
    const auto result = parseEdgeSettings(validText, "edge.toml");
    REQUIRE(std::holds_alternative<EdgeSettings>(result));
    const auto& settings = std::get<EdgeSettings>(result);
    CHECK(settings.balancer == BalancerId("front-lima-a-1"));
    CHECK(settings.dataCentre == DataCentreId("lima-a"));
    CHECK(settings.packetAddress.toString() == "10.1.0.10:8172");
    CHECK(settings.readyAddress.toString() == "10.1.0.10:8167");
    CHECK(settings.metricsAddress.toString() == "10.1.0.10:9464");
    CHECK(settings.storeAddress.toString() == "10.200.1.7:8169");
    CHECK(settings.memoryMegabytes == 80);
    CHECK(settings.configBound == 5000ms);
    CHECK(settings.drainBound == 4500ms);
    CHECK(settings.evacuationBound == 6000ms);
    CHECK(settings.warmUpFactor == 1.5);
    CHECK(settings.warmUpSlack == 5);
    CHECK(settings.stableWindow == 4000ms);
    CHECK(settings.stopDeadline == 2500ms);
}

TEST_CASE("parseEdgeSettings reads the address for heartbeats, which needs one for views")
{
    const auto result = parseEdgeSettings(
        replaced("[store]", "peers = \"10.1.0.10:8166\"\nheartbeats = \"10.1.0.10:7720\"\n[store]"), "edge.toml");
    REQUIRE(std::holds_alternative<EdgeSettings>(result));
    REQUIRE(std::get<EdgeSettings>(result).heartbeatAddress);
    CHECK(std::get<EdgeSettings>(result).heartbeatAddress->toString() == "10.1.0.10:7720");
    CHECK(findingsOf(replaced("[store]", "heartbeats = \"10.1.0.10:7720\"\n[store]")).all().size() == 1);
    CHECK(findingsOf(replaced("[store]", "peers = \"10.1.0.10:8166\"\nheartbeats = \"?\"\n[store]")).all().size() == 1);
}

TEST_CASE("parseEdgeSettings reads the addresses of peers")
{
    const std::string text = replaced(
        "[store]", "peers = \"10.1.0.10:8166\"\n[peers]\nseeds = [\"10.2.0.40:8166\", \"10.3.0.7:8166\"]\n[store]");
    const auto result = parseEdgeSettings(text, "edge.toml");
    REQUIRE(std::holds_alternative<EdgeSettings>(result));
    const auto& settings = std::get<EdgeSettings>(result);
    REQUIRE(settings.peerAddress);
    CHECK(settings.peerAddress->toString() == "10.1.0.10:8166");
    REQUIRE(settings.peers.size() == 2);
    CHECK(settings.peers[1].toString() == "10.3.0.7:8166");
    CHECK_FALSE(settings.heartbeatAddress);
    CHECK(findingsOf(replaced("[store]", "[peers]\nseeds = [\"10.2.0.40\", 7]\n[store]")).all().size() == 2);
    CHECK(findingsOf(replaced("[store]", "[peers]\nseeds = \"10.2.0.40:1\"\n[store]")).all().size() == 1);
}

// Guards against rejecting a bound or limit that the platform writes with a decimal point, which kept the balancer from
// starting.
TEST_CASE("parseEdgeSettings accepts numbers with a decimal point")
{
    std::string text = replaced("config_in_force_ms = 5000", "config_in_force_ms = 5000.0");
    text.replace(text.find("memory_mb = 80"), 14, "memory_mb = 80.5");
    const auto result = parseEdgeSettings(text, "edge.toml");
    REQUIRE(std::holds_alternative<EdgeSettings>(result));
    CHECK(std::get<EdgeSettings>(result).configBound == 5000ms);
    CHECK(std::get<EdgeSettings>(result).memoryMegabytes == 80);
}

// Guards against a limit on cold targets that is not the configured one where the platform names no tolerance.
TEST_CASE("parseEdgeSettings reads a warm-up tolerance only within its bounds")
{
    const auto result = parseEdgeSettings(replaced("warm_up_factor = 1.5\nwarm_up_slack = 5\n", ""), "edge.toml");
    REQUIRE(std::holds_alternative<EdgeSettings>(result));
    CHECK(std::get<EdgeSettings>(result).warmUpFactor == 1);
    CHECK(std::get<EdgeSettings>(result).warmUpSlack == 0);
    CHECK(findingsOf(replaced("warm_up_factor = 1.5", "warm_up_factor = 1e9")).all().size() == 1);
    CHECK(findingsOf(replaced("warm_up_slack = 5", "warm_up_slack = -1")).all().size() == 1);
}

TEST_CASE("parseEdgeSettings reports all errors together")
{
    std::string text = replaced("\"10.1.0.10:8167\"", "\"10.1.0.10\"");
    text.replace(text.find("memory_mb = 80"), 14, "memory_mb = 2 ");
    text += "colour = 1\n";
    CHECK(findingsOf(text).all().size() == 3);
    CHECK(findingsOf(replaced("[store]\naddress = \"10.200.1.7:8169\"\n", "")).all().size() == 1);
    CHECK(findingsOf(replaced("id = \"front-lima-a-1\"", "id = \"\"")).all().size() == 1);
    // The hint lists each key once, even if several checks read it.
    CHECK(findingsOf(validText + "colour = 1\n").all().front().hint
        == "remove it; the keys here are config_in_force_ms, drain_in_force_ms, evacuation_in_force_ms, "
           "warm_up_factor, warm_up_slack, calm_window_ms, stop_seconds");
    CHECK(findingsOf("[balancer\n").all().size() == 1);
    CHECK(findingsOf("balancer = 3\n").all().size() == 5);
}
