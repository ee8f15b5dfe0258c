#include <anvilwalk/placement.h>
#include <fakes/FakeClock.h>
#include <fakes/PlacementScene.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    FakeClock clock;
    TargetCatalogue targets { TargetCatalogueOptions {} };

    void put(std::uint64_t number, std::uint64_t version, TargetState state = TargetState::Ready)
    {
        targets.put(targetRecord(number, boardService, "lima-a", state), StoreVersion(version), clock.now());
    }
    void remove(std::uint64_t number, std::uint64_t version)
    {
        targets.remove({ { .name = targetRecord(number).name, .version = StoreVersion(version) } }, clock.now());
    }
    // Time passes in which the store answers.
    void answerAfter(Duration time)
    {
        clock.advance(time);
        targets.noteStoreAnswer(clock.now());
        targets.expire(clock.now());
    }
    TargetPresence presence(std::uint64_t number) { return targets.find(tokenOfTarget(number))->presence; }
};

} // namespace

// Guards against a late answer of the store that brings a target back to an earlier state.
TEST_CASE("TargetCatalogue ignores an older version of an entry")
{
    Fixture fixture;
    fixture.put(1, 7, TargetState::Draining);
    fixture.put(1, 6, TargetState::Ready);
    CHECK(fixture.targets.find(tokenOfTarget(1))->record.state == TargetState::Draining);
    fixture.remove(1, 6);
    CHECK(fixture.presence(1) == TargetPresence::Listed);
}

// Guards against flows of a crashed target that wait for their timeout although the store says that it is gone.
TEST_CASE("TargetCatalogue takes a single removed target as gone at once")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number);
    // A removal carries the version of the last content.
    fixture.remove(3, 3);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
    CHECK(fixture.targets.targetsOf(boardService).size() == 13);
}

// Guards against resets of live flows when entries lapse together with the store and come back.
TEST_CASE("TargetCatalogue keeps targets that vanish together until their grace has passed")
{
    Fixture fixture;
    std::vector<RemovedEntry> lapsed;
    for (std::uint64_t number = 1; number <= 14; ++number) {
        fixture.put(number, number);
        lapsed.push_back({ .name = targetRecord(number).name, .version = StoreVersion(number) });
    }
    fixture.targets.remove(lapsed, fixture.clock.now());
    CHECK(fixture.presence(1) == TargetPresence::Missing);
    CHECK(fixture.targets.targetsOf(boardService).size() == 14);
    fixture.put(1, 20);
    CHECK(fixture.presence(1) == TargetPresence::Listed);
    fixture.answerAfter(2500ms);
    CHECK(fixture.presence(1) == TargetPresence::Listed);
    CHECK(fixture.presence(2) == TargetPresence::Gone);
}

TEST_CASE("TargetCatalogue doubts a removal shortly after an outage of the store")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number);
    fixture.targets.noteStoreOutage(fixture.clock.now());
    fixture.clock.advance(1s);
    fixture.remove(3, 3);
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    fixture.answerAfter(2600ms);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
}

// Guards against resets of live flows when the store falls silent again unnoticed: no time of silence shows that a
// target has ended.
TEST_CASE("TargetCatalogue keeps missing targets until the store has answered after their grace")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number);
    fixture.targets.noteStoreOutage(fixture.clock.now());
    fixture.remove(3, 20);
    fixture.answerAfter(1s);
    fixture.clock.advance(20s);
    fixture.targets.expire(fixture.clock.now());
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    CHECK(fixture.targets.hasMissing());
    fixture.answerAfter(10ms);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
    CHECK_FALSE(fixture.targets.hasMissing());
}

// Guards against resets of live flows when the store returns only for a moment: targets whose entries lapsed cannot
// come back to it while it is away again.
TEST_CASE("TargetCatalogue does not count time without the store into the grace of missing targets")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number);
    fixture.targets.noteStoreOutage(fixture.clock.now());
    fixture.remove(3, 20);
    REQUIRE(fixture.presence(3) == TargetPresence::Missing);
    for (int failures = 0; failures < 5; ++failures) {
        fixture.clock.advance(1s);
        fixture.targets.noteStoreOutage(fixture.clock.now());
        fixture.targets.expire(fixture.clock.now());
    }
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    fixture.answerAfter(2600ms);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
}

// Guards against resets of live flows of a target that is leaving when its entry lapses with the store.
TEST_CASE("TargetCatalogue keeps a draining target whose entry vanished after an outage")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number, number == 3 ? TargetState::Draining : TargetState::Ready);
    fixture.targets.noteStoreOutage(fixture.clock.now());
    fixture.remove(3, 20);
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    // Without an outage it has ended as it announced.
    fixture.clock.advance(10s);
    fixture.put(4, 30, TargetState::Draining);
    fixture.remove(4, 31);
    CHECK(fixture.presence(4) == TargetPresence::Gone);
}

// Guards against a reset of flows that the next run under a name has taken before this balancer heard of it, and
// against what was seen of the earlier run being held against the next.
TEST_CASE("TargetCatalogue gives all runs under one name one token, and forgets what the earlier run did")
{
    Fixture fixture;
    fixture.put(1, 1);
    fixture.targets.find(tokenOfTarget(1))->activity.unanswered = 9;
    TargetRecord again = targetRecord(1);
    again.startedMs = 2000;
    again.address.port = 8081;
    fixture.targets.put(again, StoreVersion(2), fixture.clock.now());
    CHECK(fixture.presence(1) == TargetPresence::Listed);
    const Target* next = fixture.targets.find(tokenOfTarget(1));
    CHECK(next->record.address.port == 8081);
    CHECK(next->activity.unanswered == 0);
    CHECK(fixture.targets.targetsOf(boardService).size() == 1);
    fixture.remove(1, 3);
    CHECK(fixture.presence(1) == TargetPresence::Gone);
    fixture.targets.put(again, StoreVersion(4), fixture.clock.now());
    CHECK(fixture.presence(1) == TargetPresence::Listed);
}

TEST_CASE("TargetCatalogue forgets a gone target after its retention")
{
    Fixture fixture;
    fixture.put(1, 1);
    fixture.put(2, 2);
    fixture.put(3, 3);
    fixture.remove(1, 1);
    fixture.clock.advance(69s);
    fixture.targets.expire(fixture.clock.now());
    CHECK(fixture.targets.find(tokenOfTarget(1)) != nullptr);
    fixture.clock.advance(1s);
    fixture.targets.expire(fixture.clock.now());
    CHECK(fixture.targets.find(tokenOfTarget(1)) == nullptr);
}

// Guards against an entry that is lost when the list is read anew after the history was dropped.
TEST_CASE("TargetCatalogue removes what a new list no longer has")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 5; ++number)
        fixture.put(number, number);
    fixture.targets.retainOnly({ "i-1", "i-2", "i-3", "i-4" }, StoreVersion(9), fixture.clock.now());
    CHECK(fixture.presence(4) == TargetPresence::Listed);
    CHECK(fixture.presence(5) == TargetPresence::Gone);
    // A late change from before the list does not bring the target back.
    fixture.put(5, 8);
    CHECK(fixture.presence(5) == TargetPresence::Gone);
}

TEST_CASE("tokenOf depends on the key, and is never 0")
{
    CHECK(tokenOf(TargetKey(1)) != tokenOf(TargetKey(2)));
    for (std::uint64_t key = 0; key < 1000; ++key)
        CHECK(tokenOf(TargetKey(key)) != FlowToken());
}
