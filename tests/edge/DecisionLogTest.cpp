#include <anvilwalk-edge/DecisionLog.h>
#include <anvilwalk-edge/EdgeMetrics.h>
#include <fakes/FakeClock.h>
#include <fakes/PlacementHarness.h>
#include <fakes/RecordedLines.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

// Packet format stub: every packet with a payload starts a request with the same id.
struct FixedRequestIdFormat final : PacketFormat {
    std::size_t maxPacketBytes() const override { return 0; }
    std::size_t headroomBytes() const override { return 0; }
    std::variant<PacketView, DropReason> parse(std::span<const std::uint8_t>) const override
    {
        return DropReason::Truncated;
    }
    std::string_view requestId(const PacketView& packet) const override
    {
        return packet.fields().payloadBytes > 0 ? "8d80" : "";
    }
    void prepareForTarget(std::span<std::uint8_t>, const ForwardToTarget&) const override { }
    std::size_t writeReset(const PacketFields&, std::span<std::uint8_t>) const override { return 0; }
};

struct Fixture {
    FakeClock clock;
    RecordedLines sink;
    EventLog log { EventLogOptions {}, sink, clock };
    FixedRequestIdFormat format;
    DecisionLog decisions { log, format };

    bool logged(const std::string& text) const
    {
        for (const std::string& line : sink.lines) {
            if (line.find(text) != std::string::npos)
                return true;
        }
        return false;
    }
};

} // namespace

// Guards against log lines that lack the flow, target or reason needed to analyse a failure from the logs alone.
TEST_CASE("DecisionLog writes a line with the flow for each decision")
{
    Fixture fixture;
    PlacementHarness scene;
    FlowTracker flows({}, scene.targets, fixture.decisions);
    TokenRouter router({}, scene.targets, flows, scene.chooser, fixture.decisions);
    router.setRoutes(routeTable(1));
    scene.put(targetRecord(1));
    const FlowKey key = flowKey(1);
    const auto send
        = [&](const PacketFields& fields) { return router.route(PacketView({}, fields), scene.clock.now()); };
    const std::string flow = "\"flow\":\"100.64.0.1:40001>198.18.0.1:443\"";

    send({ .key = key, .kind = PacketKind::Opening });
    CHECK(fixture.logged("\"event\":\"placed\"," + flow + ",\"copy\":0,\"target\":\"i-1\""));
    send({ .key = key, .kind = PacketKind::Opening, .openingCopy = 1 });
    CHECK(fixture.logged("\"event\":\"placed_again\"," + flow + ",\"copy\":1"));
    CHECK(fixture.logged("\"event\":\"doubted\",\"target\":\"i-1\"," + flow));
    send({ .key = key, .token = tokenOfTarget(1), .payloadBytes = 10 });
    CHECK(fixture.logged("\"event\":\"trusted\",\"target\":\"i-1\""));
    send({ .key = key, .token = FlowToken(77), .payloadBytes = 10 });
    CHECK(fixture.logged("\"event\":\"dropped\"," + flow + ",\"token\":77,\"reason\":\"unknown_token\""));
    send({ .key = flowKey(2, { .address = { 1 }, .port = 1 }), .kind = PacketKind::Opening });
    CHECK(fixture.logged(
        "\"event\":\"reset\",\"flow\":\"100.64.0.2:40002>0.0.0.1:1\",\"token\":0,\"reason\":\"unknown_address\""));
}

TEST_CASE("DecisionLog maps a request id to its flow")
{
    Fixture fixture;
    const PacketFields fields { .key = flowKey(1), .payloadBytes = 10 };
    fixture.decisions.onForwarded(
        PacketView({}, fields), { .target = {}, .tunnel = {}, .service = {}, .token = FlowToken(5) });
    CHECK(
        fixture.logged("\"kind\":\"request\",\"event\":\"forwarded\",\"request\":\"8d80\",\"flow\":\"100.64.0.1:40001>"
                       "198.18.0.1:443\",\"token\":5"));
    const PacketFields acknowledgement { .key = flowKey(1) };
    fixture.decisions.onForwarded(
        PacketView({}, acknowledgement), { .target = {}, .tunnel = {}, .service = {}, .token = FlowToken(5) });
    CHECK(fixture.sink.lines.size() == 1);
}

TEST_CASE("renderMetrics renders counters and the histogram")
{
    TokenRouterCounters router;
    router.forwardedOpenings = 3;
    router.resets[static_cast<std::size_t>(DropReason::TargetGone)] = 2;
    PacketLoopCounters packets;
    packets.received = 7;
    ResponseHistogram responses;
    responses.add(40ms);
    responses.add(20s);
    const std::string text = renderMetrics(
        { .router = router, .packets = packets, .responses = responses, .configVersion = 9, .storeEra = StoreEra(3) });
    for (const char* expected : { "anvilwalk_edge_packets_received_total 7", "anvilwalk_edge_openings_total 3",
             "anvilwalk_edge_resets_total{reason=\"target_gone\"} 2", "anvilwalk_edge_config_version 9",
             "anvilwalk_edge_store_era 3", "anvilwalk_edge_response_seconds_count 2",
             "anvilwalk_edge_response_seconds_bucket{le=\"0.05\"} 1" })
        CHECK(text.find(expected) != std::string::npos);
}
