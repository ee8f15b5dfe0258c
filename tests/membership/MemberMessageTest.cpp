#include <anvilwalk/membership.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

Member member(std::uint32_t number)
{
    return { .id = BalancerId("front-lima-a-" + std::to_string(number)),
        .dataCentre = DataCentreId("lima-a"),
        .viewAddress = { .address = { 0x0a010000U + number }, .port = 8166 },
        .startedMs = 1'768'772'423'000U + number };
}

MemberMessage sampleMessage()
{
    return { .kind = MemberMessageKind::Introduction,
        .sender = member(1),
        .leaving = true,
        .hasView = true,
        .relay = true,
        .needsCurrentTargets = true,
        .view = { .targets = StoreVersion(90),
            .lastTargetChange = StoreVersion(88),
            .config = ConfigVersion(7),
            .targetsAge = 1200ms,
            .routesAge = 3ms,
            .evacuations = EvacuationStatus { .version = StoreVersion(89),
                .lastChange = StoreVersion(70),
                .age = 40ms,
                .dataCentres = { DataCentreId("lima-b"), DataCentreId("lima-c") } } },
        .memberCount = 47,
        .members = { member(2), member(3), member(4), member(5), member(6), member(7), member(8), member(9) } };
}

} // namespace

TEST_CASE("A member message is unchanged by encoding and decoding, and fits into a datagram")
{
    const std::string bytes = encodeMemberMessage(sampleMessage());
    CHECK(bytes.size() <= maxMemberMessageBytes);
    const auto decoded = decodeMemberMessage(bytes);
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded) == sampleMessage());
}

// Guards against a message that no balancer can read: before its first read, a view is older than any reading of it.
TEST_CASE("An age beyond the range of the format is shortened, not rejected")
{
    MemberMessage message = sampleMessage();
    message.view.targetsAge = std::chrono::hours(24 * 365 * 5);
    const auto decoded = decodeMemberMessage(encodeMemberMessage(message));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).view.targetsAge == 1h);
}

// Guards against a crash on datagrams that another program sends to the port.
TEST_CASE("decodeMemberMessage returns a message or an error for any bytes")
{
    const std::string bytes = encodeMemberMessage(sampleMessage());
    CHECK(rc::check("changed byte", [&] {
        std::string changed = bytes;
        changed[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = decodeMemberMessage(changed);
        if (isOk(decoded))
            RC_ASSERT(valueOf(decoded).members.size() <= changed.size());
    }));
    CHECK(rc::check("arbitrary bytes", [](const std::string& text) { (void)decodeMemberMessage(text); }));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(isOk(decodeMemberMessage(std::string_view(bytes).substr(0, size))));
}
