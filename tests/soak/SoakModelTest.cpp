#include "Schedule.h"
#include "StoreModel.h"
#include "WirePacket.h"

#include <platform/PacketCodec.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::soak;
using namespace std::chrono_literals;

TEST_CASE("A schedule follows from its seed alone")
{
    const ScheduleOptions options { .seed = 5, .length = 20s };
    const auto first = makeSchedule(options);
    const auto second = makeSchedule(options);
    REQUIRE(first.size() == second.size());
    REQUIRE(first.size() > 10);
    for (std::size_t index = 0; index < first.size(); ++index) {
        CHECK(first[index].at == second[index].at);
        CHECK(first[index].kind == second[index].kind);
        CHECK(first[index].target == second[index].target);
    }
    CHECK(makeSchedule({ .seed = 6, .length = 20s })[0].target != first[0].target);
}

TEST_CASE("The store stand-in lists in pages, keeps history and forgets it")
{
    StoreModel store;
    for (int number = 10; number < 35; ++number)
        store.put("servers", "i-" + std::to_string(number), { { "n", number } });
    const auto first = store.list("servers", "");
    CHECK(first.at("items").size() == 10);
    CHECK(first.at("more") == true);
    const auto last = store.list("servers", "i-29");
    CHECK(last.at("items").size() == 5);
    CHECK(last.at("more") == false);

    const std::uint64_t before = store.revision();
    store.put("servers", "i-10", { { "n", 10 } });
    CHECK(store.revision() == before);
    store.remove("servers", "i-10");
    const auto changes = store.changes("servers", before, store.revision());
    REQUIRE(changes);
    REQUIRE(changes->at("events").size() == 1);
    CHECK(changes->at("events")[0].at("deleted") == true);
    store.dropHistory();
    CHECK_FALSE(store.changes("servers", before, store.revision()));
    CHECK(store.changes("servers", store.revision(), store.revision()));
}

// Guards against a soak that plays a packet format of its own.
TEST_CASE("Packets of the soak are packets of the platform")
{
    const WirePacket opening { .source = { 0x64400007 },
        .destination = { 0xc6120001 },
        .sourcePort = 40001,
        .destinationPort = 443,
        .flags = Syn,
        .sequence = 0x11223344,
        .acknowledgement = 2 };
    const auto parsed = platform::parsePacket(encode(opening));
    REQUIRE(std::holds_alternative<PacketView>(parsed));
    const PacketFields& fields = std::get<PacketView>(parsed).fields();
    CHECK(fields.key == opening.clientFlow());
    CHECK(fields.kind == PacketKind::Opening);
    CHECK(fields.openingCopy == 2);
    CHECK(fields.sequence == 0x11223344);

    WirePacket request = opening;
    request.flags = Ack;
    request.token = 99;
    request.payload = requestText(0xabc);
    const auto decoded = decode(encode(request));
    REQUIRE(decoded);
    CHECK(decoded->checksum == checksumOf(request));
    CHECK(requestIdIn(decoded->payload) == 0xabc);
    WirePacket retokened = request;
    retokened.token = 7;
    CHECK(checksumOf(retokened) == checksumOf(request));
}
