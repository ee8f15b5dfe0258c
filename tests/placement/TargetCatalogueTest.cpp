#include <anvilwalk/placement.h>
#include <fakes/FakeClock.h>
#include <fakes/PlacementHarness.h>

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
        targets.remove({ { .name = targetRecord(number).name, .version = StoreVersion(version) } },
            StoreVersion(version), clock.now());
    }
    // Advances the clock; the store answers at the end of that time.
    void answerAfter(Duration time)
    {
        clock.advance(time);
        targets.recordConfirmed(clock.now());
        targets.expire(clock.now());
    }
    TargetPresence presence(std::uint64_t number) { return targets.find(tokenOfTarget(number))->presence; }
};

} // namespace

// Guards against a delayed answer of the store that reverts a target to an earlier state.
TEST_CASE("TargetCatalogue ignores an older version of an entry")
{
    Fixture fixture;
    fixture.put(1, 7, TargetState::Draining);
    fixture.put(1, 6, TargetState::Ready);
    CHECK(fixture.targets.find(tokenOfTarget(1))->record.state == TargetState::Draining);
    fixture.remove(1, 6);
    CHECK(fixture.presence(1) == TargetPresence::Listed);
}

// Guards against resets of flows of a running target whose entry has expired: in a short outage of the store no call
// may fail.
TEST_CASE("TargetCatalogue keeps a removed target until its entry is still missing after the grace period")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number);
    // A removal carries the version of the last content.
    fixture.remove(3, 3);
    fixture.remove(4, 4);
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    CHECK(fixture.targets.targetsOf(boardService).size() == 14);
    fixture.answerAfter(2000ms);
    fixture.put(4, 20);
    fixture.answerAfter(499ms);
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    // Flows of a crashed target do not run into their timeout.
    fixture.answerAfter(1ms);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
    CHECK(fixture.presence(4) == TargetPresence::Listed);
    CHECK(fixture.targets.targetsOf(boardService).size() == 13);
}

// Guards against flows that wait although their target has announced its end, and against resets of flows of a target
// that still serves after the announcement.
TEST_CASE("TargetCatalogue marks a removed target as gone immediately once its announced time to drain has passed")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number, TargetState::Draining);
    fixture.clock.advance(2999ms);
    fixture.remove(3, 3);
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    fixture.clock.advance(1ms);
    fixture.remove(4, 4);
    CHECK(fixture.presence(4) == TargetPresence::Gone);
}

// Guards against resets of live flows when many entries expire at once because of the store and are then restored.
TEST_CASE("TargetCatalogue keeps targets that were removed together until their grace period has passed")
{
    Fixture fixture;
    std::vector<RemovedEntry> expired;
    for (std::uint64_t number = 1; number <= 14; ++number) {
        fixture.put(number, number);
        expired.push_back({ .name = targetRecord(number).name, .version = StoreVersion(number) });
    }
    fixture.targets.remove(expired, StoreVersion(), fixture.clock.now());
    CHECK(fixture.presence(1) == TargetPresence::Missing);
    CHECK(fixture.targets.targetsOf(boardService).size() == 14);
    fixture.put(1, 20);
    CHECK(fixture.presence(1) == TargetPresence::Listed);
    fixture.answerAfter(2500ms);
    CHECK(fixture.presence(1) == TargetPresence::Listed);
    CHECK(fixture.presence(2) == TargetPresence::Gone);
}

TEST_CASE("TargetCatalogue marks a target removed shortly after a store outage as missing")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number);
    fixture.targets.recordStoreOutage(fixture.clock.now());
    fixture.clock.advance(1s);
    fixture.remove(3, 3);
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    fixture.answerAfter(2600ms);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
}

// Guards against resets of live flows when the store stops responding again without a failed call: elapsed time alone
// is no evidence that a target has terminated.
TEST_CASE("TargetCatalogue keeps missing targets until the store has answered after their grace period")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number);
    fixture.targets.recordStoreOutage(fixture.clock.now());
    fixture.remove(3, 20);
    fixture.answerAfter(1s);
    fixture.clock.advance(20s);
    fixture.targets.expire(fixture.clock.now());
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    REQUIRE(fixture.targets.currentAnswerDue());
    CHECK(*fixture.targets.currentAnswerDue() <= fixture.clock.now());
    fixture.answerAfter(10ms);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
    CHECK_FALSE(fixture.targets.currentAnswerDue());
}

// Guards against resets of live flows when the store recovers only briefly: targets whose entries expired cannot
// restore them while the store is down again.
TEST_CASE("TargetCatalogue does not count store outages towards the grace period of missing targets")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number);
    fixture.targets.recordStoreOutage(fixture.clock.now());
    fixture.remove(3, 20);
    REQUIRE(fixture.presence(3) == TargetPresence::Missing);
    for (int failures = 0; failures < 5; ++failures) {
        fixture.clock.advance(1s);
        fixture.targets.recordStoreOutage(fixture.clock.now());
        fixture.targets.expire(fixture.clock.now());
    }
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    fixture.answerAfter(2600ms);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
}

// Guards against resets of live flows of a draining target when its entry expires because of a store outage.
TEST_CASE("TargetCatalogue keeps a draining target whose entry was removed after an outage")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, number, number == 3 ? TargetState::Draining : TargetState::Ready);
    fixture.targets.recordStoreOutage(fixture.clock.now());
    fixture.remove(3, 20);
    CHECK(fixture.presence(3) == TargetPresence::Missing);
    // Without an outage, a removed draining target has terminated as announced.
    fixture.clock.advance(10s);
    fixture.put(4, 30, TargetState::Draining);
    fixture.clock.advance(3s);
    fixture.remove(4, 31);
    CHECK(fixture.presence(4) == TargetPresence::Gone);
}

// Guards against resets of flows that a restarted target accepted before this balancer learned of the restart, and
// against statistics of the previous run that are applied to the new one.
TEST_CASE("TargetCatalogue keeps the token of a restarted target and clears its statistics")
{
    Fixture fixture;
    fixture.put(1, 1);
    fixture.targets.find(tokenOfTarget(1))->activity.suspicionLevel = 9;
    TargetRecord restarted = targetRecord(1);
    restarted.startedMs = 2000;
    restarted.address.port = 8081;
    fixture.targets.put(restarted, StoreVersion(2), fixture.clock.now());
    CHECK(fixture.presence(1) == TargetPresence::Listed);
    const Target* next = fixture.targets.find(tokenOfTarget(1));
    CHECK(next->record.address.port == 8081);
    CHECK(next->activity.suspicionLevel == 0);
    CHECK(fixture.targets.targetsOf(boardService).size() == 1);
    fixture.remove(1, 3);
    fixture.answerAfter(2500ms);
    CHECK(fixture.presence(1) == TargetPresence::Gone);
    fixture.targets.put(restarted, StoreVersion(4), fixture.clock.now());
    CHECK(fixture.presence(1) == TargetPresence::Listed);
}

TEST_CASE("TargetCatalogue discards a gone target after its retention")
{
    Fixture fixture;
    fixture.put(1, 1);
    fixture.put(2, 2);
    fixture.put(3, 3);
    fixture.remove(1, 1);
    fixture.answerAfter(2500ms);
    REQUIRE(fixture.presence(1) == TargetPresence::Gone);
    fixture.clock.advance(69s);
    fixture.targets.expire(fixture.clock.now());
    CHECK(fixture.targets.find(tokenOfTarget(1)) != nullptr);
    fixture.clock.advance(1s);
    fixture.targets.expire(fixture.clock.now());
    CHECK(fixture.targets.find(tokenOfTarget(1)) == nullptr);
}

// Guards against keeping targets whose removal was missed because the store had discarded its history and the list was
// read again.
TEST_CASE("TargetCatalogue removes targets that a new list does not contain")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 5; ++number)
        fixture.put(number, number);
    fixture.targets.retainOnly({ "i-1", "i-2", "i-3", "i-4" }, StoreVersion(9), fixture.clock.now());
    CHECK(fixture.presence(4) == TargetPresence::Listed);
    fixture.answerAfter(2500ms);
    CHECK(fixture.presence(5) == TargetPresence::Gone);
    // A delayed change that is older than the list does not restore the target.
    fixture.put(5, 8);
    CHECK(fixture.presence(5) == TargetPresence::Gone);
}

TEST_CASE("tokenOf depends on the key and is never 0")
{
    CHECK(tokenOf(TargetKey(1)) != tokenOf(TargetKey(2)));
    for (std::uint64_t key = 0; key < 1000; ++key)
        CHECK(tokenOf(TargetKey(key)) != FlowToken());
}

// Guards against a change that a peer with an older view never hears of. The removal of an entry carries the version of
// its last content, which the peer has already.
TEST_CASE("The changes since a version include removals")
{
    Fixture fixture;
    fixture.targets.put(targetRecord(1), StoreVersion(5), fixture.clock.now());
    fixture.targets.put(targetRecord(2), StoreVersion(6), fixture.clock.now());
    fixture.targets.put(targetRecord(3), StoreVersion(7), fixture.clock.now());
    fixture.targets.remove({ { .name = "i-1", .version = StoreVersion(5) } }, StoreVersion(9), fixture.clock.now());
    fixture.answerAfter(2500ms);
    const TargetChanges changes = fixture.targets.changesSince(StoreVersion(7), fixture.clock.now());
    CHECK_FALSE(changes.complete);
    REQUIRE(changes.targets.size() == 1);
    CHECK(changes.targets[0].record.name == "i-1");
    CHECK(changes.targets[0].presence == TargetPresence::Gone);
    CHECK(fixture.targets.lastChange() == StoreVersion(9));
    CHECK(fixture.targets.changesSince(StoreVersion(9), fixture.clock.now()).targets.empty());
    CHECK(fixture.targets.changesSince(StoreVersion(), fixture.clock.now()).targets.size() == 3);

    // Once the terminated target has been discarded, the removal can only be told by a complete list.
    fixture.clock.advance(80s);
    fixture.targets.expire(fixture.clock.now());
    CHECK(fixture.targets.changesSince(StoreVersion(7), fixture.clock.now()).complete);
    CHECK_FALSE(fixture.targets.changesSince(StoreVersion(9), fixture.clock.now()).complete);
}

// Guards against a target that is used again, or ended, because of a peer that is behind.
TEST_CASE("A state that another balancer has read is adopted only if it is newer")
{
    Fixture fixture;
    const auto adopt = [&](std::uint64_t version, TargetPresence presence) {
        fixture.targets.adopt({ .record = targetRecord(1),
                                  .version = StoreVersion(version),
                                  .readVersion = StoreVersion(version + 1),
                                  .presence = presence },
            fixture.clock.now());
        return fixture.targets.find(tokenOfTarget(1))->presence;
    };
    CHECK(adopt(5, TargetPresence::Listed) == TargetPresence::Listed);
    CHECK(adopt(4, TargetPresence::Gone) == TargetPresence::Listed);
    CHECK(adopt(5, TargetPresence::Missing) == TargetPresence::Missing);
    CHECK(adopt(5, TargetPresence::Gone) == TargetPresence::Gone);
    CHECK(adopt(5, TargetPresence::Listed) == TargetPresence::Gone);
    CHECK(adopt(5, TargetPresence::Missing) == TargetPresence::Gone);
    CHECK(adopt(6, TargetPresence::Listed) == TargetPresence::Listed);
}

namespace {

std::uint64_t inEra(std::uint32_t era, std::uint64_t revision)
{
    return makeStoreVersion(StoreEra(era), revision).value();
}

} // namespace

// Guards against new flows at a target that is about to end: the copy from which the store was restored may be older
// than the target's announcement.
TEST_CASE("TargetCatalogue keeps a target draining when a restored store lists it as ready")
{
    Fixture fixture;
    fixture.put(1, inEra(1, 30), TargetState::Draining);
    fixture.put(1, inEra(2, 20));
    const Target& target = *fixture.targets.find(tokenOfTarget(1));
    CHECK(target.record.state == TargetState::Draining);
    CHECK(target.version == StoreVersion(inEra(2, 20)));
    // What the target itself writes to the restored store counts.
    fixture.put(1, inEra(2, 21));
    CHECK(fixture.targets.find(tokenOfTarget(1))->record.state == TargetState::Ready);

    // A new run has announced nothing.
    fixture.put(2, inEra(2, 30), TargetState::Draining);
    TargetRecord restarted = targetRecord(2);
    restarted.startedMs += 1;
    fixture.targets.put(restarted, StoreVersion(inEra(3, 20)), fixture.clock.now());
    CHECK(fixture.targets.find(tokenOfTarget(2))->record.state == TargetState::Ready);
}

// Guards against a warm target that is taken for a cold one because of the older copy.
TEST_CASE("TargetCatalogue does not extend a warm-up time when the store was restored")
{
    Fixture fixture;
    TargetRecord record = targetRecord(1);
    record.coldRemaining = 2000ms;
    fixture.targets.put(record, StoreVersion(inEra(1, 30)), fixture.clock.now());
    const MonotonicTime coldUntil = fixture.targets.find(tokenOfTarget(1))->coldUntil;
    fixture.clock.advance(1500ms);
    fixture.targets.put(record, StoreVersion(inEra(2, 20)), fixture.clock.now());
    CHECK(fixture.targets.find(tokenOfTarget(1))->coldUntil == coldUntil);
}

// Guards against resets of flows of running targets whose entries were written after the copy was made.
TEST_CASE("TargetCatalogue takes targets that a restored store lacks for missing until they can have written again")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 14; ++number)
        fixture.put(number, inEra(1, number), number == 3 ? TargetState::Draining : TargetState::Ready);
    fixture.clock.advance(10s);
    fixture.targets.recordStoreRestored(fixture.clock.now());
    std::vector<std::string> names;
    for (std::uint64_t number = 1; number <= 14; ++number) {
        if (number != 3 && number != 4 && number != 5)
            names.push_back(targetRecord(number).name);
    }
    fixture.targets.retainOnly(names, StoreVersion(inEra(2, 10)), fixture.clock.now());
    CHECK(fixture.targets.currentAnswerDue() == fixture.clock.now() + 5s);
    for (int step = 0; step < 4; ++step) {
        for (const std::uint64_t number : { 3, 4, 5 })
            CHECK(fixture.presence(number) == TargetPresence::Missing);
        fixture.answerAfter(1s);
    }
    // A delayed change from before the restore does not list the target again.
    fixture.put(5, inEra(1, 99));
    CHECK(fixture.presence(5) == TargetPresence::Missing);
    fixture.put(5, inEra(2, 11));
    CHECK(fixture.presence(5) == TargetPresence::Listed);
    fixture.answerAfter(999ms);
    CHECK(fixture.presence(4) == TargetPresence::Missing);
    fixture.answerAfter(1ms);
    CHECK(fixture.presence(3) == TargetPresence::Gone);
    CHECK(fixture.presence(4) == TargetPresence::Gone);
    CHECK(fixture.presence(5) == TargetPresence::Listed);
}

// Guards against a balancer that keeps targets which the restored store lacks because the relay never knew them.
TEST_CASE("The changes since a version of a lower era are all targets")
{
    Fixture fixture;
    fixture.put(1, inEra(2, 20));
    CHECK(fixture.targets.changesSince(StoreVersion(inEra(1, 30)), fixture.clock.now()).complete);
    CHECK_FALSE(fixture.targets.changesSince(StoreVersion(inEra(2, 10)), fixture.clock.now()).complete);
}
