#include <anvilwalk-edge/WhereAnswer.h>
#include <fakes/PlacementHarness.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr WhereQuery query { .client = { .address = { 0x64400007 }, .port = 40'001 },
    .service = { .address = boardAddress.address, .port = boardAddress.port } };

json answerOf(PlacementHarness& harness, const WhereInputs& inputs)
{
    const FlowKey key { .source = query.client.address,
        .destination = query.service.address,
        .sourcePort = query.client.port,
        .destinationPort = query.service.port };
    return json::parse(encodeWhereAnswer(query, harness.router.explain(key, harness.clock.now()), inputs));
}

} // namespace

// Guards against a path that is read differently by the command and the balancer, and against accepting half of one.
TEST_CASE("The path of a where query is parsed as it was written")
{
    CHECK(wherePath(query) == "/v1/where/100.64.0.7:40001/198.18.0.1:443");
    CHECK(parseWherePath(wherePath(query)) == query);
    for (const char* invalid : { "", "/v1/where/", "/v1/where/100.64.0.7:40001", "/v1/where/100.64.0.7:40001/",
             "/v1/where/100.64.0.7/198.18.0.1:443", "/v1/where/100.64.0.7:40001/198.18.0.1:443/",
             "/v1/where/100.64.0.7:40001/198.18.0.1:0", "/v1/view/100.64.0.7:40001/198.18.0.1:443" })
        CHECK_FALSE(parseWherePath(invalid));
}

// Guards against an answer that leaves out why a target is not chosen, or how old the inputs are.
TEST_CASE("An answer holds the choice, each target and the ages of its inputs")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    TargetRecord cold = targetRecord(2, boardService, "lima-b");
    cold.coldRemaining = 1500ms;
    harness.put(cold);
    harness.targets.setEvacuated({ DataCentreId("lima-b") });
    harness.targets.setSharedLoad({ .fresh = true, .balancers = 21, .takenAt = harness.clock.now() - 800ms });
    harness.targets.find(tokenOfTarget(1))->shared = { .openFlows = 9, .requestsInProgress = 6 };
    const json answer = answerOf(harness,
        { .balancer = BalancerId("front-1"),
            .dataCentre = DataCentreId("lima-a"),
            .configVersion = ConfigVersion(3),
            .targetsVersion = StoreVersion(20),
            .targetsAge = 700ms,
            .routesAge = 1200ms,
            .evacuationsAge = 900ms,
            .evacuatedDataCentres = { DataCentreId("lima-b") },
            .now = harness.clock.now() });
    CHECK(answer["balancer"] == "front-1");
    CHECK(answer["client"] == "100.64.0.7:40001");
    CHECK(answer["service_address"] == "198.18.0.1:443");
    CHECK(answer["route"] == "board");
    CHECK(answer["service"] == boardService.value());
    CHECK(answer["refusal"].is_null());
    CHECK(answer["inputs"]
        == json::parse(R"({"config_version":3,"targets_version":20,"targets_age_ms":700,"routes_age_ms":1200,
            "evacuations_age_ms":900,"evacuated_data_centres":["lima-b"],
            "load_summary":{"age_ms":800,"balancers":21}})"));
    REQUIRE(answer["targets"].size() == 2);
    const json& local = answer["targets"][0];
    CHECK(local["name"] == "i-1");
    CHECK(local["rank"] == "responsive");
    CHECK(local["reason"] == "none");
    CHECK(local["may_be_chosen"] == true);
    CHECK(local["share"] == 1.0);
    CHECK(local["remote"] == false);
    CHECK(local["others_requests"] == 6);
    // Six requests at three slots.
    CHECK(local["load"].get<double>() == Approx(2));
    const json& evacuated = answer["targets"][1];
    CHECK(evacuated["rank"] == "unusable");
    CHECK(evacuated["reason"] == "evacuated");
    CHECK(evacuated["may_be_chosen"] == false);
    CHECK(evacuated["remote"] == true);
    CHECK(evacuated["cold_remaining_ms"] == 1500);
}

// Guards against ages that look measured although the store never answered, and against an answer that a name with
// invalid UTF-8 prevents.
TEST_CASE("An answer says what is not known")
{
    PlacementHarness harness;
    const json refused = answerOf(harness, { .now = harness.clock.now() });
    CHECK(refused["refusal"] == "no_target");
    CHECK(refused["targets"].empty());
    CHECK(refused["inputs"]["targets_age_ms"].is_null());
    CHECK(refused["inputs"]["evacuations_age_ms"].is_null());
    CHECK(refused["inputs"]["load_summary"].is_null());
    TargetRecord unreadable = targetRecord(1);
    unreadable.name = "i-\xff";
    harness.put(unreadable);
    const json answer = answerOf(harness, { .now = harness.clock.now() });
    REQUIRE(answer["targets"].size() == 1);
    CHECK(answer["targets"][0]["load"].is_null());
}
