#include <anvilwalk/placement.h>
#include <fakes/PlacementHarness.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

const TargetExplanation& explanationOf(const PlacementExplanation& explanation, std::uint64_t number)
{
    for (const TargetExplanation& target : explanation.targets) {
        if (target.target->record.name == targetRecord(number).name)
            return target;
    }
    FAIL("the target is not explained");
    return explanation.targets.front();
}

PlacementExplanation explain(PlacementHarness& harness, const FlowKey& key)
{
    return harness.router.explain(key, harness.clock.now());
}

void setSharedLoad(PlacementHarness& harness, std::uint32_t balancers)
{
    harness.targets.setSharedLoad(
        { .fresh = true, .balancers = balancers, .takenAt = harness.clock.now() - std::chrono::seconds(1) });
}

SharedTargetLoad& sharedLoadOf(PlacementHarness& harness, std::uint64_t number)
{
    return harness.targets.find(tokenOfTarget(number))->shared;
}

// Returns the targets of flows that are opened one after another, with the same seed whether flows are explained or
// not.
std::vector<FlowToken> placements(bool explained, bool shared)
{
    PlacementHarness harness({ .dataCentre = DataCentreId("lima-a"), .seed = 7 });
    for (std::uint64_t number = 1; number <= 6; ++number)
        harness.put(targetRecord(number));
    if (shared)
        setSharedLoad(harness, 20);
    std::vector<FlowToken> placed;
    for (std::uint32_t number = 0; number < 60; ++number) {
        if (explained) {
            for (std::uint32_t query = 0; query < 5; ++query)
                explain(harness, flowKey(1000 + query));
        }
        const auto token = harness.open(flowKey(number));
        REQUIRE(token);
        placed.push_back(*token);
    }
    CHECK(harness.flows.size() == 60);
    CHECK(harness.router.counters().forwardedOpenings == 60);
    return placed;
}

} // namespace

// Guards against queries that change where flows go: by random numbers drawn, counted openings or tracked flows.
TEST_CASE("An explanation does not change later choices")
{
    for (const bool shared : { false, true })
        CHECK(placements(false, shared) == placements(true, shared));
}

// Guards against an explanation that names another route, service or reason than an opening packet gets.
TEST_CASE("An explanation names the route, the service and why a flow would go nowhere")
{
    PlacementHarness harness;
    const TokenRouter withoutRoutes({}, harness.targets, harness.flows, harness.chooser);
    CHECK(withoutRoutes.explain(flowKey(1), harness.clock.now()).refusal == DropReason::StaleState);

    const PlacementExplanation unknown = explain(harness, flowKey(1, { .address = { 0xc6120009 }, .port = 443 }));
    CHECK(unknown.route == nullptr);
    CHECK(unknown.refusal == DropReason::UnknownAddress);

    const PlacementExplanation noTarget = explain(harness, flowKey(1));
    REQUIRE(noTarget.route != nullptr);
    CHECK(noTarget.route->name == "board");
    CHECK(noTarget.service == boardService);
    CHECK(noTarget.refusal == DropReason::NoTarget);

    harness.put(targetRecord(1));
    harness.put(targetRecord(2, photoService));
    const PlacementExplanation placed = explain(harness, flowKey(1));
    CHECK_FALSE(placed.refusal);
    REQUIRE(placed.targets.size() == 1);
    CHECK(placed.targets.front().share == 1);
    // Nothing of the query remains: an opening packet that follows is a first one.
    CHECK(harness.flows.size() == 0);
}

// Guards against an explanation that hides why a target gets no flow.
TEST_CASE("An explanation gives the rank of each target and its reason")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 5; ++number)
        harness.put(targetRecord(number));
    harness.put(targetRecord(6, boardService, "lima-a", TargetState::Draining));
    harness.put(targetRecord(7, boardService, "lima-b"));
    harness.put(targetRecord(8, boardService, "lima-c"));
    TargetRecord collision = targetRecord(9);
    collision.key = TargetKey(1);
    collision.startedMs = 2000;
    harness.put(collision);
    harness.targets.setEvacuated({ DataCentreId("lima-b") });
    harness.remove(2);
    sharedLoadOf(harness, 3) = { .unansweredBalancers = 3, .answeredBalancers = 1 };
    Target& suspected = *harness.targets.find(tokenOfTarget(4));
    suspected.activity.suspicionLevel = suspicionThreshold;
    suspected.activity.lastUnanswered = harness.clock.now();
    const FlowKey key = flowKey(1);
    harness.flows.recordOpening(key, tokenOfTarget(5), harness.clock.now());

    const PlacementExplanation explanation = explain(harness, key);
    const std::map<std::uint64_t, std::pair<TargetRank, TargetRankReason>> expected {
        { 1, { TargetRank::Responsive, TargetRankReason::None } },
        { 2, { TargetRank::Degraded, TargetRankReason::Missing } },
        { 3, { TargetRank::Degraded, TargetRankReason::SilentForOthers } },
        { 4, { TargetRank::Degraded, TargetRankReason::Suspected } },
        { 5, { TargetRank::Tried, TargetRankReason::AlreadyTried } },
        { 6, { TargetRank::Unusable, TargetRankReason::Draining } },
        { 7, { TargetRank::Unusable, TargetRankReason::Evacuated } },
        { 8, { TargetRank::Responsive, TargetRankReason::None } },
        { 9, { TargetRank::Unusable, TargetRankReason::TokenCollision } },
    };
    CHECK(explanation.targets.size() == expected.size());
    for (const auto& [number, rank] : expected) {
        INFO("target " << number);
        const TargetExplanation& target = explanationOf(explanation, number);
        CHECK(toString(target.rank) == toString(rank.first));
        CHECK(toString(target.reason) == toString(rank.second));
        CHECK(target.remote == (number == 7 || number == 8));
        CHECK((target.share > 0) == (number == 1));
    }
}

// Guards against an explanation that is computed differently from the choice: the shares it gives are those with which
// the same flow is placed.
TEST_CASE("The shares of an explanation are those of the choice")
{
    for (const bool shared : { false, true }) {
        INFO("with a load summary: " << shared);
        std::map<FlowToken, int> counts;
        PlacementExplanation explanation;
        // Each scene is new, so that each choice is made in the state that was explained.
        constexpr int scenes = 2000;
        for (int scene = 0; scene < scenes; ++scene) {
            PlacementHarness harness(
                { .dataCentre = DataCentreId("lima-a"), .seed = static_cast<std::uint64_t>(scene) });
            for (std::uint64_t number = 1; number <= 5; ++number) {
                harness.put(targetRecord(number, boardService, number == 5 ? "lima-b" : "lima-a"));
                sharedLoadOf(harness, number)
                    = { .requestsInProgress = static_cast<std::uint32_t>(number), .responseTime = 30ms };
            }
            sharedLoadOf(harness, 2).responseTime = 60ms;
            if (shared)
                setSharedLoad(harness, 20);
            Target& busy = *harness.targets.find(tokenOfTarget(3));
            busy.activity.openFlows = busy.activity.requestsInProgress = 2;
            explanation = explain(harness, flowKey(1));
            std::map<std::string, double> shares;
            for (const TargetExplanation& target : explanation.targets) {
                CHECK(target.load.has_value() == shared);
                shares[target.target->record.name] = target.share;
            }
            const auto token = harness.open(flowKey(1));
            REQUIRE(token);
            const std::string& chosen = harness.targets.find(*token)->record.name;
            REQUIRE(shares[chosen] > 0);
            ++counts[*token];
            if (scene + 1 < scenes)
                continue;
            double sum = 0;
            for (std::uint64_t number = 1; number <= 5; ++number) {
                const double share = shares[targetRecord(number).name];
                sum += share;
                // Five standard deviations of the count.
                CHECK(counts[tokenOfTarget(number)] == Approx(share * scenes).margin(112));
            }
            CHECK(sum == Approx(1));
        }
    }
}

// Guards against an explanation that shows a refusal by admission control as a free choice.
TEST_CASE("An explanation gives the share of flows that admission control lets pass")
{
    std::vector<Route> routes;
    for (const std::uint32_t priority : { 1U, 2U })
        routes.push_back({ .name = "priority-" + std::to_string(priority),
            .address = priority == 1 ? boardAddress : photoAddress,
            .services = { { .service = boardService } },
            .kind = RouteKind::Download,
            .priority = priority,
            .latencyTarget = 100ms });
    PlacementHarness harness;
    AdmissionController admission({ .dataCentre = DataCentreId("lima-a") });
    harness.router.setAdmission(&admission);
    harness.router.setRoutes(std::make_shared<const RouteTable>(ConfigVersion(2), std::move(routes), 15s));
    harness.put(targetRecord(1));
    CHECK(explain(harness, flowKey(1, photoAddress)).admittedShare == 1);
    // The others have as many requests in progress as this balancer.
    harness.targets.find(tokenOfTarget(1))->activity.requestsInProgress = 3;
    for (int step = 0; step < 20; ++step) {
        harness.clock.advance(100ms);
        setSharedLoad(harness, 4);
        harness.open(flowKey(static_cast<std::uint32_t>(step)));
    }
    const std::uint64_t refused = admission.refused();
    const PlacementExplanation leastUrgent = explain(harness, flowKey(100, photoAddress));
    CHECK(leastUrgent.admittedShare == 0);
    CHECK(leastUrgent.refusal == DropReason::NewFlowLimit);
    CHECK(explain(harness, flowKey(100)).admittedShare > 0);
    CHECK(admission.refused() == refused);
}
