#include "FleetModel.h"

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

constexpr int urgent = 0;
constexpr int lessUrgent = 1;

std::uint64_t refused(const FleetModel& model) { return model.calls[urgent].refused + model.calls[lessUrgent].refused; }

std::uint64_t rejected(const FleetModel& model)
{
    return model.calls[urgent].rejected + model.calls[lessUrgent].rejected;
}

// Three bursts of eight times the usual load, which is 2.4 times the capacity.
void playBursts(FleetModel& model)
{
    const double usual = 0.3 * model.capacity();
    model.run(5s, usual);
    model.resetStatistics();
    for (int burst = 0; burst < 3; ++burst) {
        model.run(8s, 8 * usual);
        model.run(8s, usual);
    }
    UNSCOPED_INFO("urgent " << model.calls[urgent].servedShare() << ", less urgent "
                            << model.calls[lessUrgent].servedShare() << ", rejected " << rejected(model) << ", refused "
                            << refused(model) << ", urgent refused " << model.calls[urgent].refused);
}

RouteTablePointer routes(std::uint64_t version, std::uint32_t lessUrgentPriority, RouteKind kind = RouteKind::Download)
{
    Route first {
        .name = "urgent", .address = boardAddress, .services = { { .service = boardService } }, .kind = kind
    };
    first.priority = 1;
    Route second = first;
    second.address = photoAddress;
    second.priority = lessUrgentPriority;
    return std::make_shared<const RouteTable>(ConfigVersion(version), std::vector { first, second }, 15s);
}

} // namespace

// Guards against refusals at services that do not call for them, and against the end of all refusals with each new
// configuration.
TEST_CASE("AdmissionController refuses only flows of routes with several priorities")
{
    PlacementHarness harness;
    harness.put(targetRecord(1));
    for (std::uint32_t number = 0; number < 30; ++number)
        harness.sendData(flowKey(number), tokenOfTarget(1));
    harness.targets.setSharedLoad({ .fresh = true, .balancers = 20, .takenAt = harness.clock.now() });
    AdmissionController admission({ .dataCentre = DataCentreId("lima-a") });
    harness.router.setAdmission(&admission);
    std::uint32_t number = 1000;
    const auto isOpened = [&] { return harness.open(flowKey(++number, photoAddress)).has_value(); };
    harness.router.setRoutes(routes(2, 1));
    CHECK(isOpened());
    harness.router.setRoutes(routes(3, 2, RouteKind::Safe));
    CHECK(isOpened());
    harness.router.setRoutes(routes(4, 2));
    CHECK_FALSE(isOpened());
    harness.router.setRoutes(routes(5, 2));
    // Only the most urgent flows.
    CHECK(admission.admittedPriorities(boardService) == 1);
    CHECK_FALSE(isOpened());
    CHECK(admission.refused() == 2);
    harness.router.setRoutes(routes(6, 1));
    CHECK(isOpened());
}

// Guards against a failed target whose lost requests look like a lack of room.
TEST_CASE("AdmissionController does not count a suspected target")
{
    PlacementHarness harness;
    for (std::uint64_t number = 1; number <= 2; ++number)
        harness.put(targetRecord(number));
    for (std::uint32_t number = 0; number < 30; ++number) {
        harness.sendData(flowKey(number), tokenOfTarget(1));
        harness.sendData(flowKey(number), tokenOfTarget(1));
    }
    harness.targets.setSharedLoad({ .fresh = true, .balancers = 20, .takenAt = harness.clock.now() });
    AdmissionController admission({ .dataCentre = DataCentreId("lima-a") });
    harness.router.setAdmission(&admission);
    harness.router.setRoutes(routes(2, 2));
    CHECK(harness.open(flowKey(1000, photoAddress)) == tokenOfTarget(2));
}

// Guards against urgent calls that targets reject in a burst because less urgent ones fill the queues.
TEST_CASE("AdmissionController keeps room for urgent calls in bursts")
{
    FleetModel without({});
    playBursts(without);
    FleetModel with({ .admits = true });
    playBursts(with);
    CHECK(with.calls[urgent].servedShare() >= 0.95);
    CHECK(rejected(with) * 10 <= rejected(without));
    // What the targets can do is still done.
    CHECK(with.calls[urgent].served + with.calls[lessUrgent].served
        >= 0.95 * (without.calls[urgent].served + without.calls[lessUrgent].served));
}

// Guards against refusals while there is room.
TEST_CASE("AdmissionController refuses nothing below the capacity")
{
    const double use = GENERATE(0.5, 0.9);
    FleetModel model({ .admits = true });
    model.run(5s, 0.5 * model.capacity());
    model.run(20s, use * model.capacity());
    CHECK(refused(model) == 0);
}

// Guards against taking some slow targets for a lack of room.
TEST_CASE("AdmissionController refuses nothing because one sixth of the targets is slow")
{
    FleetModel model({ .admits = true });
    for (std::size_t index = 0; index < model.targets.size(); index += 6)
        model.targets[index].speed = 0.2;
    model.run(20s, 0.7 * model.capacity());
    CHECK(refused(model) == 0);
}

// Guards against refusals after the end of an overload.
TEST_CASE("AdmissionController admits all within a second after a burst")
{
    FleetModel model({ .admits = true });
    model.run(5s, 0.3 * model.capacity());
    model.run(8s, 2.4 * model.capacity());
    CHECK(model.meanAdmitted() < 1.6);
    model.run(1s, 0.3 * model.capacity());
    model.resetStatistics();
    model.run(5s, 0.3 * model.capacity());
    CHECK(refused(model) == 0);
}

// Guards against swings between refusing all and none, which leave capacity unused and fill queues in turn.
TEST_CASE("AdmissionController settles in a steady overload")
{
    FleetModel model({ .admits = true });
    model.run(5s, 0.3 * model.capacity());
    model.run(2s, 2.4 * model.capacity());
    double least = 2;
    double most = 0;
    model.onReport = [&] {
        least = std::min(least, model.meanAdmitted());
        most = std::max(most, model.meanAdmitted());
    };
    model.run(30s, 2.4 * model.capacity());
    CAPTURE(least, most);
    CHECK(least >= 0.9);
    CHECK(most <= 1.6);
}

// Guards against the loss of all urgent calls when these alone exceed the capacity.
TEST_CASE("AdmissionController serves urgent calls up to the capacity if there are too many of them")
{
    FleetModel model({ .admits = true });
    model.run(5s, 0.3 * model.capacity());
    model.resetStatistics();
    model.run(10s, 2.4 * model.capacity(), 0.9);
    CAPTURE(model.calls[urgent].servedShare(), rejected(model));
    CHECK(static_cast<double>(model.calls[urgent].served) >= 0.9 * 10 * model.capacity());
}

// Guards against refusals by a balancer that does not know of the others' load, and of repeated opening packets, whose
// flow a target may have accepted.
TEST_CASE("AdmissionController refuses only first opening packets, with a fresh summary")
{
    const double use = 2.4;
    FleetModel model({ .admits = true });
    model.run(5s, use * model.capacity());
    auto& balancer = *model.balancers.front();
    const auto countOpened = [&](std::uint32_t from, std::uint32_t copy) {
        int opened = 0;
        for (std::uint32_t number = from; number < from + 100; ++number) {
            const PacketFields fields {
                .key = flowKey(number, photoAddress), .kind = PacketKind::Opening, .openingCopy = copy
            };
            const Decision decision = balancer.router.route(PacketView({}, fields), model.now);
            opened += std::holds_alternative<ForwardToTarget>(decision) ? 1 : 0;
        }
        return opened;
    };
    CHECK(countOpened(10'000'000, 0) < 100);
    CHECK(countOpened(10'001'000, 1) == 100);
    balancer.targets.setSharedLoad({});
    CHECK(countOpened(10'002'000, 0) == 100);
}
