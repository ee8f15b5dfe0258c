#include <anvilwalk/placement.h>
#include <fakes/PlacementHarness.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

using Members = std::vector<BalancerId>;
using Openings = std::map<std::uint64_t, std::vector<MonotonicTime>>;

BalancerId balancer(char name) { return BalancerId(std::string(1, name)); }

// Makes a list of members from their one-letter names.
Members members(const std::string& names)
{
    Members list;
    for (const char name : names)
        list.push_back(balancer(name));
    return list;
}

RouteTablePointer limitedRoutes(double boardPerSecond, std::uint64_t version = 2)
{
    std::vector<Route> routes = routeTable(1)->routes();
    return std::make_shared<const RouteTable>(ConfigVersion(version), std::move(routes), 15s,
        std::vector<WarmUpLimit> { { .service = boardService, .flowsPerSecond = boardPerSecond } });
}

Target coldTarget(std::uint64_t number, MonotonicTime coldUntil, const ServiceName& service = boardService)
{
    Target target;
    target.record = targetRecord(number, service);
    target.token = tokenOfTarget(number);
    target.coldUntil = coldUntil;
    return target;
}

// Several balancers that open flows to cold targets as fast as they may, each with its own list of members.
struct Fleet {
    // 20 * 1.5 + 5 = 35 in any second; an owner opens 17.
    static constexpr double rate = 20;
    static constexpr std::size_t limit = 35;
    static constexpr std::size_t ownerLimit = 17;

    struct Balancer {
        WarmUpLimiter limiter;
        Members known;
    };

    explicit Fleet(const std::string& names)
    {
        for (const char name : names)
            start(name, names);
        for (std::uint64_t number = 1; number <= 12; ++number)
            targets.push_back(coldTarget(number, clock.now() + 1h));
        run(4s);
        openings.clear();
    }

    void start(char name, const std::string& known)
    {
        WarmUpLimiter limiter({ .balancer = balancer(name),
            .dataCentre = DataCentreId("lima-a"),
            .factor = 1.5,
            .slack = 5,
            .startedAt = clock.now() });
        limiter.setRoutes(*limitedRoutes(rate));
        balancers.insert_or_assign(name, Balancer { .limiter = std::move(limiter), .known = members(known) });
    }

    // Tells balancers of their members.
    void tell(const std::string& names, const std::string& known)
    {
        for (const char name : names)
            balancers.at(name).known = members(known);
    }

    void run(Duration time)
    {
        const MonotonicTime end = clock.now() + time;
        for (; clock.now() < end; clock.advance(5ms)) {
            for (auto& [name, state] : balancers) {
                state.limiter.setMembers(state.known, clock.now());
                for (const Target& target : targets)
                    openIfAllowed(state.limiter, target);
            }
        }
    }

    void openIfAllowed(WarmUpLimiter& limiter, const Target& target)
    {
        // Demand comes in bursts, so that windows of any position are tried.
        if (random() % 10 != 0)
            return;
        while (limiter.mayOpen(target, clock.now())) {
            limiter.recordOpening(target, clock.now());
            openings[target.token.value()].push_back(clock.now());
            if (random() % 4 == 0)
                break;
        }
    }

    // Returns the most openings at one target in any second.
    std::size_t busiestSecond() const
    {
        std::size_t most = 0;
        for (const auto& [token, times] : openings) {
            for (std::size_t first = 0; first < times.size(); ++first) {
                std::size_t last = first;
                while (last < times.size() && times[last] - times[first] <= 1s)
                    ++last;
                most = std::max(most, last - first);
            }
        }
        return most;
    }

    FakeClock clock;
    std::minstd_rand random { 5 };
    std::map<char, Balancer> balancers;
    std::vector<Target> targets;
    Openings openings;
};

} // namespace

// Guards against a limit that also holds back flows to warm targets or to services without a limit.
TEST_CASE("WarmUpLimiter limits only cold targets of services with a limit")
{
    FakeClock clock;
    WarmUpLimiter limiter({ .balancer = balancer('a'), .dataCentre = DataCentreId("lima-a") });
    const Target cold = coldTarget(1, clock.now() + 2s);
    CHECK(limiter.mayOpen(cold, clock.now()));
    limiter.setRoutes(*limitedRoutes(20));
    CHECK_FALSE(limiter.mayOpen(cold, clock.now()));
    CHECK(limiter.mayOpen(coldTarget(1, clock.now()), clock.now()));
    CHECK(limiter.mayOpen(coldTarget(2, clock.now() + 2s, photoService), clock.now()));
    limiter.setRoutes(*routeTable(3));
    CHECK_FALSE(limiter.isActive());
    CHECK(limiter.mayOpen(cold, clock.now()));
    CHECK(limiter.openings() == 0);
}

// Guards against a target that no balancer may open flows at, and against more than one owner while all agree.
TEST_CASE("Each cold target has one owner among the four longest-running members")
{
    Fleet fleet("abcdefg");
    std::map<char, int> owned;
    for (const Target& target : fleet.targets) {
        int owners = 0;
        // The counted openings of the last second are over.
        for (auto& [name, state] : fleet.balancers) {
            state.limiter.setMembers(state.known, fleet.clock.now() + 2s);
            if (!state.limiter.mayOpen(target, fleet.clock.now() + 2s))
                continue;
            ++owners;
            ++owned[name];
        }
        CHECK(owners == 1);
    }
    CHECK(owned.size() > 1);
    for (const auto& [name, count] : owned)
        CHECK(name <= 'd');
}

// Guards against a window that starts anew each second, which lets twice the limit pass around its start.
TEST_CASE("An owner opens at most half of the limit in any second, and that much under demand")
{
    Fleet fleet("abcde");
    fleet.run(10s);
    CHECK(fleet.busiestSecond() == Fleet::ownerLimit);
}

// Guards against exceeding the limit while balancers cannot reach each other: both parts have an owner.
TEST_CASE("Two parts of a data centre that do not hear each other keep within the limit")
{
    Fleet fleet("abcdefgh");
    fleet.tell("aceg", "aceg");
    fleet.tell("bdfh", "bdfh");
    fleet.run(10s);
    CHECK(fleet.busiestSecond() > Fleet::ownerLimit);
    CHECK(fleet.busiestSecond() <= Fleet::limit);
    // The parts meet again, one balancer after the other.
    for (const char name : std::string("gahcbfde")) {
        fleet.run(150ms);
        fleet.tell(std::string(1, name), "abcdefgh");
    }
    fleet.run(5s);
    CHECK(fleet.busiestSecond() <= Fleet::limit);
}

// Guards against a new owner whose flows add to those that the previous ones have just opened: several hubs may stop
// within a second.
TEST_CASE("The limit holds while the owner changes several times within a second")
{
    Fleet fleet("abcdefgh");
    for (const std::string known : { "bcdefgh", "cdefgh", "defgh", "efgh", "aefgh", "abefgh", "abcdefgh" }) {
        fleet.run(300ms);
        fleet.tell("abcdefgh", known);
    }
    fleet.run(5s);
    CHECK(fleet.busiestSecond() <= Fleet::ownerLimit);
}

// Guards against a restarted balancer that adds to what its previous run has opened, which it does not know.
TEST_CASE("A balancer that has just started opens no flows to cold targets")
{
    Fleet fleet("ab");
    fleet.run(1s);
    fleet.start('a', "ab");
    fleet.start('b', "ab");
    fleet.openings.clear();
    fleet.run(2990ms);
    CHECK(fleet.openings.empty());
    fleet.run(500ms);
    CHECK_FALSE(fleet.openings.empty());
}

// Guards against a balancer that counts as the only one because it is cut off, and against one that was frozen and acts
// on an old list of members.
TEST_CASE("A balancer that does not know the other members opens no flows to cold targets")
{
    Fleet fleet("ab");
    fleet.tell("a", "a");
    fleet.tell("b", "");
    fleet.openings.clear();
    fleet.run(5s);
    CHECK(fleet.openings.empty());
    fleet.tell("ab", "ab");
    fleet.run(2990ms);
    CHECK(fleet.openings.empty());
    fleet.run(500ms);
    CHECK_FALSE(fleet.openings.empty());
    fleet.clock.advance(2001ms);
    for (const auto& [name, state] : fleet.balancers) {
        CHECK_FALSE(state.limiter.isCandidate(fleet.clock.now()));
        for (const Target& target : fleet.targets)
            CHECK_FALSE(state.limiter.mayOpen(target, fleet.clock.now()));
    }
}

// Guards against flows to cold targets of other data centres, whose balancers have owners of their own.
TEST_CASE("No flow is opened to a cold target of another data centre")
{
    Fleet fleet("ab");
    for (Target& target : fleet.targets)
        target.record.dataCentre = DataCentreId("lima-b");
    fleet.run(2s);
    CHECK(fleet.openings.empty());
}

// Guards against one service's limit that counts or hides the openings of another.
TEST_CASE("Each service has its own limit")
{
    FakeClock clock;
    WarmUpLimiter limiter({ .balancer = balancer('a'), .dataCentre = DataCentreId("lima-a") });
    std::vector<WarmUpLimit> limits { { .service = boardService, .flowsPerSecond = 4 },
        { .service = photoService, .flowsPerSecond = 20 }, { .service = ServiceName("tiny"), .flowsPerSecond = 0.5 },
        { .service = ServiceName("absurd"), .flowsPerSecond = 1e300 } };
    limiter.setRoutes(RouteTable(ConfigVersion(2), routeTable(1)->routes(), 15s, std::move(limits)));
    CHECK(limiter.limitedServices() == 4);
    clock.advance(10s);
    // The other member owns half of the targets, so the first owned target of each service is found by trying.
    limiter.setMembers(members("ab"), clock.now());
    std::uint64_t number = 0;
    const auto open = [&](const ServiceName& service) {
        for (const std::uint64_t end = number + 100; number < end;) {
            ++number;
            const Target target = coldTarget(number, clock.now() + 2s, service);
            std::size_t count = 0;
            for (; count < 10'000 && limiter.mayOpen(target, clock.now()); ++count)
                limiter.recordOpening(target, clock.now());
            if (count > 0)
                return count;
        }
        return std::size_t { 0 };
    };
    CHECK(open(boardService) == 2);
    CHECK(open(photoService) == 10);
    // Half of the limit is less than one flow.
    CHECK(open(ServiceName("tiny")) == 0);
    CHECK(open(ServiceName("absurd")) == WarmUpLimiterOptions {}.maxOpeningsPerSecond);
}

// Guards against a choice that ignores the limit or does not count its flows, and against a reset of a flow that may be
// open at a cold target.
TEST_CASE("TokenRouter uses other targets while a cold one may get no flow")
{
    PlacementHarness harness;
    WarmUpLimiter limiter(
        { .balancer = balancer('a'), .dataCentre = DataCentreId("lima-a"), .startedAt = harness.clock.now() });
    harness.router.setWarmUpLimiter(&limiter);
    harness.router.setRoutes(limitedRoutes(8));
    harness.clock.advance(3s);
    limiter.setMembers(members("ab"), harness.clock.now());
    // The first target that this balancer owns.
    std::uint64_t owned = 1;
    while (!limiter.mayOpen(coldTarget(owned, harness.clock.now() + 2s), harness.clock.now()))
        ++owned;
    TargetRecord cold = targetRecord(owned);
    cold.coldRemaining = 2s;
    harness.put(cold);
    for (std::uint32_t number = 1; number <= 4; ++number)
        CHECK(harness.open(flowKey(number)) == tokenOfTarget(owned));
    CHECK(limiter.openings() == 4);
    const Decision refused = harness.send({ .key = flowKey(5), .kind = PacketKind::Opening });
    CHECK(std::holds_alternative<ResetFlow>(refused));
    const auto explanation = harness.router.explain(flowKey(5), harness.clock.now());
    REQUIRE(explanation.targets.size() == 1);
    CHECK(explanation.targets.front().reason == TargetRankReason::WarmUpLimit);
    CHECK(explanation.refusal == DropReason::NoTarget);
    const Decision copy = harness.send({ .key = flowKey(1), .kind = PacketKind::Opening, .openingCopy = 1 });
    CHECK(std::holds_alternative<DropPacket>(copy));
    harness.put(targetRecord(500));
    for (std::uint32_t number = 10; number <= 30; ++number)
        CHECK(harness.open(flowKey(number)) == tokenOfTarget(500));
    CHECK(limiter.openings() == 4);
    // The target is warm, and the copy no longer counts against it.
    harness.clock.advance(2s);
    harness.targets.find(tokenOfTarget(owned))->activity = {};
    std::size_t atWarm = 0;
    for (std::uint32_t number = 40; number <= 60; ++number)
        atWarm += harness.open(flowKey(number)) == tokenOfTarget(owned) ? 1 : 0;
    CHECK(atWarm > 4);
    CHECK(limiter.openings() == 4);
}

// Guards against a warm-up time that starts anew with each reading of an entry, so that a target never gets all flows.
TEST_CASE("TargetCatalogue does not extend the warm-up time of a run")
{
    PlacementHarness harness;
    TargetRecord record = targetRecord(1);
    record.coldRemaining = 2s;
    harness.put(record);
    const MonotonicTime end = harness.clock.now() + 2s;
    const auto coldUntil = [&] { return harness.targets.find(tokenOfTarget(1))->coldUntil; };
    CHECK(coldUntil() == end);
    harness.clock.advance(1s);
    harness.put(record);
    CHECK(coldUntil() == end);
    // A later entry may show that the target is warm earlier than this balancer assumed.
    record.coldRemaining = 500ms;
    harness.put(record);
    CHECK(coldUntil() == end - 500ms);
    // A new run warms up anew.
    record.startedMs = 5000;
    record.coldRemaining = 2s;
    harness.put(record);
    CHECK(coldUntil() == harness.clock.now() + 2s);
}

// Guards against other balancers that take a target for warm too early, by the part of a millisecond.
TEST_CASE("TargetCatalogue rounds the remaining warm-up time up for other balancers")
{
    PlacementHarness harness;
    TargetRecord record = targetRecord(1);
    record.coldRemaining = 2s;
    harness.put(record);
    harness.clock.advance(1us);
    const TargetChanges changes = harness.targets.changesSince(StoreVersion(), harness.clock.now());
    REQUIRE(changes.targets.size() == 1);
    CHECK(changes.targets.front().record.coldRemaining == 2s);
}
