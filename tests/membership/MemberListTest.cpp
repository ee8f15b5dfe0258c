#include <anvilwalk/membership.h>
#include <fakes/FakeClock.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

Member member(std::uint32_t number, const std::string& dataCentre = "lima-a")
{
    return { .id = BalancerId(dataCentre + "-" + std::to_string(number)),
        .dataCentre = DataCentreId(dataCentre),
        .viewAddress = { .address = { 0x0a010000U + number }, .port = 8166 },
        .startedMs = number };
}

MemberMessage heartbeat(const Member& sender, bool hasView = true) { return { .sender = sender, .hasView = hasView }; }

// A data centre in which members 1 to 10 run and one of them decides.
struct Fixture {
    explicit Fixture(std::uint32_t self)
        : list(MemberListOptions {}, member(self))
    {
        list.setOwnState(true, false);
        hearFromAll();
    }

    void hearFromAll(std::uint32_t first = 1)
    {
        for (std::uint32_t number = first; number <= 10; ++number)
            list.handle(heartbeat(member(number)), clock.now());
    }

    FakeClock clock;
    MemberList list;
};

} // namespace

TEST_CASE("The longest-running members with a view are relays")
{
    for (std::uint32_t self = 1; self <= 10; ++self) {
        const Fixture fixture(self);
        INFO("member " << self);
        CHECK(fixture.list.role() == (self <= 2 ? MemberRole::Relay : MemberRole::Follower));
        CHECK(fixture.list.isHub() == (self <= 4));
        CHECK(fixture.list.heartbeatDestinations(fixture.clock.now()).size() == (self <= 4 ? 9 : 4));
        CHECK(fixture.list.introductionsFor(DataCentreId("lima-a")).front() == member(1));
    }
}

// Guards against a data centre in which nobody reads the store, because a relay has no view that it could pass on.
TEST_CASE("A member without a view is no relay for members that have one")
{
    Fixture fixture(3);
    fixture.list.handle(heartbeat(member(1), false), fixture.clock.now());
    CHECK(fixture.list.role() == MemberRole::Relay);
    fixture.list.setOwnState(false, false);
    CHECK(fixture.list.role() == MemberRole::Follower);

    MemberList alone(MemberListOptions {}, member(3));
    CHECK(alone.role() == MemberRole::Independent);
}

TEST_CASE("In a small data centre every member follows the store and none has followers")
{
    FakeClock clock;
    MemberList list(MemberListOptions {}, member(7));
    list.setOwnState(true, false);
    for (std::uint32_t number = 1; number <= 6; ++number)
        list.handle(heartbeat(member(number)), clock.now());
    CHECK(list.memberCount() == 7);
    CHECK(list.role() == MemberRole::Independent);

    SECTION("until a hub hears from more members than this one")
    {
        MemberMessage message = heartbeat(member(1));
        message.memberCount = 40;
        list.handle(message, clock.now());
        CHECK(list.role() == MemberRole::Follower);
    }
}

// Guards against a data centre that stays without news after its relays have failed.
TEST_CASE("The next members become relays when the relays fall silent or leave")
{
    Fixture fixture(3);
    REQUIRE(fixture.list.role() == MemberRole::Follower);
    SECTION("silence")
    {
        fixture.clock.advance(3s);
        fixture.hearFromAll(2);
        fixture.clock.advance(1s);
        fixture.list.expire(fixture.clock.now());
        CHECK(fixture.list.memberCount() == 9);
    }
    SECTION("leaving")
    {
        MemberMessage message = heartbeat(member(1));
        message.leaving = true;
        fixture.list.handle(message, fixture.clock.now());
    }
    CHECK(fixture.list.role() == MemberRole::Relay);
}

// Guards against a data centre whose members lose each other when all hubs fail at once.
TEST_CASE("A member also sends heartbeats to the successors of silent hubs")
{
    Fixture fixture(10);
    CHECK(fixture.list.heartbeatDestinations(fixture.clock.now()).size() == 4);
    fixture.clock.advance(2200ms);
    fixture.hearFromAll(3);
    CHECK(fixture.list.heartbeatDestinations(fixture.clock.now()).size() == 6);
}

// Guards against a stopped member that others keep alive by introducing it to each other.
TEST_CASE("An introduction does not refresh a member")
{
    FakeClock clock;
    MemberList list(MemberListOptions {}, member(5));
    MemberMessage message = heartbeat(member(2));
    message.members = { member(1) };
    for (int second = 0; second < 5; ++second) {
        list.handle(message, clock.now());
        clock.advance(1s);
        list.expire(clock.now());
    }
    CHECK(list.memberCount() <= 3);
    // Only members that have sent a message themselves are passed on.
    CHECK(list.introductionsFor(DataCentreId("lima-a")) == std::vector<Member> { member(2), member(5) });
}

TEST_CASE("A member that restarts under its id is new and starts without a view")
{
    Fixture fixture(3);
    Member restarted = member(1);
    restarted.startedMs = 99;
    CHECK(fixture.list.handle(heartbeat(restarted, false), fixture.clock.now()).newSender);
    CHECK_FALSE(fixture.list.handle(heartbeat(restarted, false), fixture.clock.now()).newSender);
    CHECK(fixture.list.role() == MemberRole::Relay);
}

// Guards against relays in another data centre, whose messages would cross between data centres.
TEST_CASE("Members of other data centres are introduced to their own but are not counted here")
{
    Fixture fixture(2);
    MemberMessage query = heartbeat(member(1, "lima-b"));
    query.kind = MemberMessageKind::Query;
    fixture.list.handle(query, fixture.clock.now());
    CHECK(fixture.list.memberCount() == 10);
    CHECK(fixture.list.introductionsFor(DataCentreId("lima-b")) == std::vector<Member> { member(1, "lima-b") });
    CHECK(fixture.list.heartbeatDestinations(fixture.clock.now()).size() == 9);
    fixture.clock.advance(5s);
    fixture.list.expire(fixture.clock.now());
    CHECK(fixture.list.introductionsFor(DataCentreId("lima-b")).size() == 1);
    fixture.clock.advance(1s);
    fixture.list.expire(fixture.clock.now());
    CHECK(fixture.list.introductionsFor(DataCentreId("lima-b")).empty());
}

// Guards against unbounded memory use by forged messages.
TEST_CASE("The number of members is limited")
{
    FakeClock clock;
    MemberList list({ .maxMembers = 100 }, member(1));
    for (std::uint32_t number = 2; number < 1000; ++number)
        list.handle(heartbeat(member(number)), clock.now());
    CHECK(list.memberCount() == 101);
}
