#include <anvilwalk/process.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;

namespace {

TableSnapshotPointer makeTable()
{
    table::TableSet set;
    set.set_version(4);
    table::ServiceTable& service = *set.add_services();
    service.set_service(1);
    for (const std::uint32_t id : { 10U, 11U }) {
        table::TargetEntry& target = *service.add_targets();
        target.set_id(id);
        target.set_host("host-" + std::to_string(id));
        target.set_tunnel_address("10.0.0." + std::to_string(id) + ":5555");
        target.set_weight(1000);
        target.set_leaving(id == 11);
    }
    for (int slot = 0; slot < slotsPerService; ++slot)
        service.add_slots(10);
    const auto result = TableSnapshot::fromMessage(set);
    REQUIRE(isOk(result));
    return valueOf(result);
}

peer::BalancerStatus makeStatus(const std::string& id)
{
    peer::BalancerStatus status;
    status.set_balancer(id);
    status.set_state(peer::MEMBER_STATE_SETTLED);
    peer::ServiceStatus& service = *status.add_services();
    service.set_service(1);
    service.set_openings(3);
    service.set_open_flows(2);
    service.set_refused(1);
    service.set_dropped(4);
    service.set_relayed(5);
    (*service.mutable_openings_by_target())[10] = 3;
    (*service.mutable_flows_left_by_target())[11] = 2;
    (*status.mutable_drops())["table_full"] = 6;
    return status;
}

} // namespace

TEST_CASE("The status of a data centre contains the sums over its balancers")
{
    ServiceConfig config;
    config.id = ServiceId(1);
    config.name = ServiceName("cordeles/dispatch");
    const StatusSummaryInput input {
        .dataCentre = DataCentreId("lima-a"),
        .writer = BalancerId("b1"),
        .writtenAtUnixMs = 17,
        .balancers = { makeStatus("b1"), makeStatus("b2") },
        .missingBalancers = { BalancerId("b3") },
        .targetReports = { { .target = TargetId(10), .reachable = true, .healthy = true, .openFlows = 42 } },
        .config = std::make_shared<ConfigSnapshot>(ConfigVersion(3), std::vector { config }),
        .table = makeTable(),
    };
    const nlohmann::json spec = summarizeStatus(input);
    CHECK(spec["dataCentre"] == "lima-a");
    CHECK(spec["writtenAtUnixMs"] == 17);
    CHECK(spec["tableVersion"] == 4);
    CHECK(spec["configVersion"] == 3);
    CHECK(spec["balancers"].size() == 2);
    CHECK(spec["balancers"][1]["state"] == "settled");
    CHECK(spec["missingBalancers"] == nlohmann::json { "b3" });
    CHECK(spec["drops"] == nlohmann::json { { "table_full", 12 } });
    REQUIRE(spec["services"].size() == 1);
    const nlohmann::json& service = spec["services"][0];
    CHECK(service["name"] == "cordeles/dispatch");
    CHECK(service["openings"] == 6);
    CHECK(service["openFlows"] == 4);
    CHECK(service["refused"] == 2);
    CHECK(service["dropped"] == 8);
    CHECK(service["relayed"] == 10);
    REQUIRE(service["targets"].size() == 2);
    CHECK(service["targets"][0]["openings"] == 6);
    CHECK(service["targets"][0]["openConnections"] == 42);
    CHECK_FALSE(service["targets"][0].contains("flowsLeft"));
    CHECK(service["targets"][1]["host"] == "host-11");
    CHECK(service["targets"][1]["flowsLeft"] == 4);
    CHECK(service["targets"][1]["openConnections"].is_null());
}

// Guards against different member names in summarizeStatus and decodeStatus. Decoding gives absent members default
// values, so that a mismatch would go unnoticed.
TEST_CASE("decodeStatus reads the status object that summarizeStatus writes")
{
    ServiceConfig config;
    config.id = ServiceId(1);
    config.name = ServiceName("cordeles/dispatch");
    const auto decoded = decodeStatus(summarizeStatus({ .dataCentre = DataCentreId("lima-a"),
        .writer = BalancerId("b1"),
        .writtenAtUnixMs = 17,
        .balancers = { makeStatus("b1"), makeStatus("b2") },
        .missingBalancers = { BalancerId("b3") },
        .targetReports = { { .target = TargetId(10), .reachable = true, .healthy = false, .openFlows = 42 } },
        .config = std::make_shared<ConfigSnapshot>(ConfigVersion(3), std::vector { config }),
        .table = makeTable() }));
    REQUIRE(isOk(decoded));
    const DataCentreStatus& status = valueOf(decoded);
    CHECK(status.balancers[1].id == BalancerId("b2"));
    CHECK(status.balancers[1].state == "settled");
    CHECK(status.missingBalancers == std::vector { BalancerId("b3") });
    REQUIRE(status.services.size() == 1);
    CHECK(status.services[0].name == config.name);
    CHECK(status.services[0].openings == 6);
    CHECK(status.services[0].openFlows == 4);
    REQUIRE(status.services[0].targets.size() == 2);
    CHECK(status.services[0].targets[0].openConnections == 42);
    CHECK_FALSE(status.services[0].targets[0].healthy);
    CHECK(status.services[0].targets[1].leaving);
    CHECK(status.services[0].targets[1].flowsLeft == 4);
}

TEST_CASE("summarizeStatus works without configuration and table")
{
    const nlohmann::json spec = summarizeStatus({ .dataCentre = DataCentreId("lima-a"),
        .writer = BalancerId("b1"),
        .writtenAtUnixMs = 1,
        .balancers = { makeStatus("b1") },
        .missingBalancers = {},
        .targetReports = {},
        .config = nullptr,
        .table = nullptr });
    CHECK(spec["tableVersion"] == 0);
    CHECK(spec["services"][0]["targets"].empty());
}

TEST_CASE("decodeTargetReport decodes valid health responses and reports invalid ones as unreachable")
{
    const TargetId id(5);
    const TargetReport good
        = decodeTargetReport(id, 200, R"({"healthy":true,"shedding":true,"openFlows":7,"busySlots":2})");
    CHECK(good.target == id);
    CHECK(good.reachable);
    CHECK(good.healthy);
    CHECK(good.shedding);
    CHECK_FALSE(good.draining);
    CHECK(good.openFlows == 7);
    CHECK(good.busySlots == 2);
    CHECK_FALSE(decodeTargetReport(id, 503, R"({"healthy":true})").healthy);
    CHECK(decodeTargetReport(id, 503, R"({"healthy":true})").reachable);
    CHECK_FALSE(decodeTargetReport(id, 200, "").reachable);
    CHECK_FALSE(decodeTargetReport(id, 200, "[1]").reachable);
    CHECK_FALSE(decodeTargetReport(id, 200, R"({"healthy":"yes"})").reachable);
    CHECK_FALSE(decodeTargetReport(id, 404, R"({"healthy":true})").reachable);
    CHECK(decodeTargetReport(id, 200, R"({"healthy":true,"openFlows":-3})").openFlows == 0);
}

TEST_CASE("Metrics are written in the Prometheus text format")
{
    const Metrics metrics([] {
        MetricsSample sample;
        sample.status = makeStatus("b1");
        sample.serviceNames = { "cordeles/dispatch" };
        sample.ready = true;
        return sample;
    });
    const std::string text = metrics.text();
    CHECK(text.find("anvilwalk_openings_total{service=\"cordeles/dispatch\"} 3") != std::string::npos);
    CHECK(text.find("anvilwalk_drops_total{reason=\"table_full\"} 6") != std::string::npos);
    CHECK(text.find("anvilwalk_ready 1") != std::string::npos);
}
