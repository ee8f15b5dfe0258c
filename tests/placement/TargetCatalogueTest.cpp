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
    fixture.clock.advance(2500ms);
    fixture.targets.expire(fixture.clock.now());
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
    // A target that had announced its end does not come back.
    fixture.put(4, 20, TargetState::Draining);
    fixture.remove(4, 20);
    CHECK(fixture.presence(4) == TargetPresence::Gone);
}

// Guards against packets for an earlier run that reach the next one, which knows nothing of the flow.
TEST_CASE("TargetCatalogue tells two runs under one name apart")
{
    Fixture fixture;
    fixture.put(1, 1);
    TargetRecord again = targetRecord(1);
    again.startedMs = 2000;
    fixture.targets.put(again, StoreVersion(2), fixture.clock.now());
    CHECK(fixture.presence(1) == TargetPresence::Gone);
    const Target* next = fixture.targets.find(tokenOf(TargetKey(1), 2000));
    REQUIRE(next != nullptr);
    CHECK(next->presence == TargetPresence::Listed);
    CHECK(fixture.targets.targetsOf(boardService).size() == 1);
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

TEST_CASE("tokenOf depends on key and start, and is never 0")
{
    CHECK(tokenOf(TargetKey(1), 1000) != tokenOf(TargetKey(1), 1001));
    CHECK(tokenOf(TargetKey(1), 1000) != tokenOf(TargetKey(2), 1000));
    for (std::uint64_t key = 0; key < 1000; ++key)
        CHECK(tokenOf(TargetKey(key), key) != FlowToken());
}
