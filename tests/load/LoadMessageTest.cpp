#include "LoadHarness.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

LoadReport sampleReport()
{
    return { .header = loadHeader(1, 77),
        .targets = { { .token = FlowToken(4'000'000'001),
                         .openFlows = 12,
                         .requestsInProgress = 3,
                         .responses = 260,
                         .responseTimeSum = 9'876'500us,
                         .unanswered = true },
            { .token = FlowToken(5) } } };
}

LoadSummary sampleSummary()
{
    return { .header = loadHeader(2, 78),
        .age = 640ms,
        .balancers = 28,
        .targets = { { .token = FlowToken(4'000'000'001),
                         .openFlows = 312,
                         .requestsInProgress = 40,
                         .unansweredBalancers = 2,
                         .answeredBalancers = 25,
                         .responseTime = 38'400us },
            { .token = FlowToken(5) } } };
}

constexpr std::uint32_t largeCount = 9'999'999;
constexpr auto largeTime = 59min;
constexpr std::uint32_t manyTargets = 300;

FlowToken largeToken(std::uint32_t index) { return FlowToken(std::numeric_limits<std::uint32_t>::max() - index); }

LoadReport largeReport()
{
    LoadReport report { .header = loadHeader(1, std::numeric_limits<std::uint64_t>::max()), .targets = {} };
    for (std::uint32_t index = 0; index < manyTargets; ++index)
        report.targets.push_back({ .token = largeToken(index),
            .openFlows = largeCount,
            .requestsInProgress = largeCount,
            .responses = largeCount,
            .responseTimeSum = largeTime,
            .unanswered = true });
    return report;
}

LoadSummary largeSummary()
{
    LoadSummary summary { .header = loadHeader(1, std::numeric_limits<std::uint64_t>::max()),
        .age = 59s,
        .balancers = largeCount,
        .targets = {} };
    for (std::uint32_t index = 0; index < manyTargets; ++index)
        summary.targets.push_back({ .token = largeToken(index),
            .openFlows = largeCount,
            .requestsInProgress = largeCount,
            .unansweredBalancers = largeCount,
            .answeredBalancers = largeCount,
            .responseTime = largeTime });
    return summary;
}

// Decodes all parts and returns their targets joined. Checks size and part numbers.
template <class Message> Message joinParts(const Message& message)
{
    Message joined = message;
    joined.targets.clear();
    const std::vector<std::string> parts = encodeLoadMessage(message);
    for (std::size_t part = 0; part < parts.size(); ++part) {
        CHECK(parts[part].size() <= maxLoadMessageBytes);
        const auto decoded = decodeLoadMessage(parts[part]);
        REQUIRE(isOk(decoded));
        const auto* found = std::get_if<Message>(&valueOf(decoded));
        REQUIRE(found != nullptr);
        CHECK(found->header.part == part);
        CHECK(found->header.parts == parts.size());
        CHECK(found->header.sequence == message.header.sequence);
        joined.targets.insert(joined.targets.end(), found->targets.begin(), found->targets.end());
    }
    return joined;
}

// Encodes the sample report with a changed field.
std::string reportWith(const std::string& field, const json& value)
{
    json object = json::from_cbor(encodeLoadMessage(sampleReport()).at(0));
    object[field] = value;
    std::string bytes;
    json::to_cbor(object, bytes);
    return bytes;
}

// Encodes the sample report with one changed value of its first target.
std::string reportWithTargetValue(std::size_t index, const json& value)
{
    json targets = json::from_cbor(encodeLoadMessage(sampleReport()).at(0)).at("t");
    targets[0][index] = value;
    return reportWith("t", targets);
}

} // namespace

// Guards against figures that are exchanged, shortened or lost on their way.
TEST_CASE("Load reports and summaries are unchanged by encoding and decoding")
{
    const auto reports = encodeLoadMessage(sampleReport());
    REQUIRE(reports.size() == 1);
    const auto report = decodeLoadMessage(reports[0]);
    REQUIRE(isOk(report));
    CHECK(std::get<LoadReport>(valueOf(report)) == sampleReport());
    const auto summaries = encodeLoadMessage(sampleSummary());
    REQUIRE(summaries.size() == 1);
    const auto summary = decodeLoadMessage(summaries[0]);
    REQUIRE(isOk(summary));
    CHECK(std::get<LoadSummary>(valueOf(summary)) == sampleSummary());
}

// Guards against a balancer without traffic that is missing in the sums, and whose silence looks like a failure.
TEST_CASE("A report without targets is one part")
{
    const LoadReport report { .header = loadHeader(1, 1), .targets = {} };
    const auto parts = encodeLoadMessage(report);
    REQUIRE(parts.size() == 1);
    const auto decoded = decodeLoadMessage(parts[0]);
    REQUIRE(isOk(decoded));
    CHECK(std::get<LoadReport>(valueOf(decoded)) == report);
}

// Guards against datagrams that receivers cut off, so that the targets in them are never shared.
TEST_CASE("Each part of a large report or summary fits into a datagram and no target is lost")
{
    CHECK(joinParts(largeReport()) == largeReport());
    CHECK(joinParts(largeSummary()) == largeSummary());
}

// Guards against a second datagram for each of the usual reports, which would double the cost of sending.
TEST_CASE("A report of 45 targets with usual figures is one part")
{
    LoadReport report { .header = loadHeader(1, 1'000'000), .targets = {} };
    for (std::uint32_t index = 0; index < 45; ++index)
        report.targets.push_back({ .token = largeToken(index),
            .openFlows = 30,
            .requestsInProgress = 4,
            .responses = 50,
            .responseTimeSum = 2s });
    CHECK(encodeLoadMessage(report).size() == 1);
}

// Guards against one absurd report whose sums make every receiver drop the whole summary.
TEST_CASE("Figures above the bounds of the format are reduced to them when they are encoded")
{
    LoadSummary summary = sampleSummary();
    summary.age = 100h;
    summary.balancers = std::numeric_limits<std::uint32_t>::max();
    summary.targets[0].openFlows = std::numeric_limits<std::uint32_t>::max();
    summary.targets[0].responseTime = 100h;
    // A clock or a counter that went back.
    summary.targets[1].responseTime = -1ms;
    const auto decoded = decodeLoadMessage(encodeLoadMessage(summary).at(0));
    REQUIRE(isOk(decoded));
    const auto& found = std::get<LoadSummary>(valueOf(decoded));
    CHECK(found.age == 60s);
    CHECK(found.balancers == 10'000'000);
    CHECK(found.targets.at(0).openFlows == 10'000'000);
    CHECK(found.targets.at(0).responseTime == 1h);
    CHECK(found.targets.at(1).responseTime == 0ms);
}

// Guards against figures of a faulty sender, or of another release, that enter the sums of all balancers.
TEST_CASE("decodeLoadMessage rejects absurd figures, other formats and targets without a token")
{
    REQUIRE(isOk(decodeLoadMessage(reportWith("f", 1U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("f", 0U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("f", 2U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("k", 2U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("s", 5U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("s", ""))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("n", -1))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("p", 1U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("q", 0U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("q", 4097U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("t", json::object()))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWithTargetValue(0, 0U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWithTargetValue(0, 4'294'967'296U))));
    for (std::size_t index = 1; index <= 3; ++index) {
        CHECK(isOk(decodeLoadMessage(reportWithTargetValue(index, 10'000'000U))));
        CHECK_FALSE(isOk(decodeLoadMessage(reportWithTargetValue(index, 10'000'001U))));
        CHECK_FALSE(isOk(decodeLoadMessage(reportWithTargetValue(index, -1))));
        CHECK_FALSE(isOk(decodeLoadMessage(reportWithTargetValue(index, 1.5))));
    }
    CHECK(isOk(decodeLoadMessage(reportWithTargetValue(4, 36'000'000U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWithTargetValue(4, 36'000'001U))));
    CHECK_FALSE(isOk(decodeLoadMessage(reportWithTargetValue(5, 2U))));
}

// Guards against memory that a sender of oversized messages can claim.
TEST_CASE("decodeLoadMessage rejects messages larger than a datagram")
{
    CHECK_FALSE(isOk(decodeLoadMessage(reportWith("x", std::string(maxLoadMessageBytes, 'x')))));
}

// Guards against a crash on datagrams that another program sends to the port.
TEST_CASE("decodeLoadMessage returns a message or an error for any bytes")
{
    for (const std::string& bytes :
        { encodeLoadMessage(sampleReport()).at(0), encodeLoadMessage(sampleSummary()).at(0) }) {
        CHECK(rc::check("changed byte", [&] {
            std::string changed = bytes;
            changed[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            const auto decoded = decodeLoadMessage(changed);
            if (isOk(decoded))
                std::visit([&](const auto& message) { RC_ASSERT(message.targets.size() <= changed.size()); },
                    valueOf(decoded));
        }));
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(isOk(decodeLoadMessage(std::string_view(bytes).substr(0, size))));
    }
    CHECK(rc::check("arbitrary bytes", [](const std::string& text) { (void)decodeLoadMessage(text); }));
}
