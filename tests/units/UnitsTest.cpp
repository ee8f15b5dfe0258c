#include <anvilwalk/units.h>

#include <catch2/catch.hpp>

using namespace anvilwalk;

TEST_CASE("Ipv4Endpoint parses only a complete address and port")
{
    const auto endpoint = Ipv4Endpoint::parse("127.0.0.1:4500");
    REQUIRE(endpoint.has_value());
    CHECK(endpoint->toString() == "127.0.0.1:4500");
    for (const char* bad : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:1x",
             "127.0.0:1", "host:1", "127.0.0.1:-1", " 127.0.0.1:1" })
        CHECK_FALSE(Ipv4Endpoint::parse(bad).has_value());
}

TEST_CASE("Findings are reported in order of position")
{
    Findings findings;
    findings.add({ .place = { "b.toml", 2, 1 }, .message = "second", .hint = "" });
    findings.add({ .place = { "a.toml", 9, 3 }, .message = "first", .hint = "write this" });
    CHECK(findings.toString() == "a.toml:9:3: first (write this)\nb.toml:2:1: second\n");
}
