#include <anvilwalk/process.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace anvilwalk;
using nlohmann::json;

namespace {

constexpr std::int64_t now = 1'767'225'600'000;

json target(const std::string& host, json openConnections, bool leaving = false, std::uint64_t flowsLeft = 0)
{
    return { { "host", host }, { "leaving", leaving }, { "weight", 1000 }, { "healthy", true },
        { "openConnections", std::move(openConnections) }, { "flowsLeft", flowsLeft } };
}

json service(const std::string& name, std::uint64_t dropped, json targets)
{
    return { { "service", 1 }, { "name", name }, { "openFlows", 5980 }, { "openings", 71'234 }, { "refused", 0 },
        { "dropped", dropped }, { "relayed", 812 }, { "targets", std::move(targets) } };
}

json balancer(const std::string& id, std::uint64_t configVersion)
{
    return { { "balancer", id }, { "state", "settled" }, { "configVersion", configVersion }, { "tableVersion", 9 } };
}

DataCentreStatus status(const std::string& dataCentre, std::int64_t ageMs, json balancers, json missing, json services)
{
    return valueOf(decodeStatus(
        { { "dataCentre", dataCentre }, { "writtenAtUnixMs", now - ageMs }, { "balancers", std::move(balancers) },
            { "missingBalancers", std::move(missing) }, { "services", std::move(services) } }));
}

ReportInput sampleInput()
{
    ReportInput input { .nowUnixMs = now,
        .configVersion = ConfigVersion(12),
        .expectedServices = {},
        .dataCentres = { DataCentreId("lima-a"), DataCentreId("lima-b"), DataCentreId("lima-c") },
        .listedBalancers = { BalancerId("vm-1"), BalancerId("vm-9") },
        .statuses = {},
        .baselineStatuses = {} };
    for (const DataCentreId& dataCentre : input.dataCentres) {
        input.expectedServices.emplace(dataCentre, "cordeles/dispatch");
        input.expectedServices.emplace(dataCentre, "cordeles/photo-intake");
    }
    input.statuses.push_back(status("lima-a", 2400, { balancer("vm-1", 12), balancer("vm-2", 12) }, json::array(),
        { service("cordeles/dispatch", 0,
              { target("host-1", 2000), target("host-2", 1980), target("host-3", 40, true, 40) }),
            service("cordeles/photo-intake", 17, { target("host-4", 300), target("host-5", 500) }) }));
    input.statuses.push_back(status("lima-b", 95'000, { balancer("vm-4", 11) }, { "vm-5" },
        { service("cordeles/dispatch", 3, { target("host-6", nullptr) }) }));
    return input;
}

std::string readGoldenFile(const std::string& name)
{
    std::ifstream stream(std::filesystem::path(ANVILWALK_SOURCE_DIR) / "tests/process/golden" / name);
    return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace

// Guards against a moved column and an unreported gap: operators find figures by their position in the report.
TEST_CASE("The formatted report equals the golden file byte for byte")
{
    const std::string text = formatReport(computeReport(sampleInput()));
    INFO(text);
    CHECK(text == readGoldenFile("report.txt"));
}

TEST_CASE("Imbalance covers healthy targets by weight and is absent without reported loads")
{
    const ReportFigures figures = computeReport(sampleInput());
    CHECK(*figures.rows[0].counts->imbalance == Approx(2000.0 / 1990.0));
    CHECK(*figures.rows[1].counts->imbalance == Approx(1.25));
    CHECK_FALSE(figures.rows[2].counts->imbalance.has_value());
    CHECK_FALSE(figures.rows[3].counts.has_value());
    CHECK(figures.rows[0].counts->flowsLeft == 40);
}

TEST_CASE("A report over an interval shows differences and handles a balancer restart")
{
    ReportInput input = sampleInput();
    input.baselineStatuses = { input.statuses[0] };
    input.baselineStatuses[0].services[0].openings = 71'000;
    input.baselineStatuses[0].services[1].openings = 99'999;
    const ReportFigures figures = computeReport(input);
    CHECK(figures.rows[0].counts->newFlows == 234);
    CHECK(figures.rows[1].counts->newFlows == 71'234);
}

TEST_CASE("A report omits services without targets and traffic in a data centre, except those with dropped packets")
{
    ReportInput input = sampleInput();
    input.statuses[0].services.push_back({ .name = ServiceName("lakeshore/routes") });
    CHECK(computeReport(input).rows.size() == 6);
    input.statuses[0].services.back().dropped = 1;
    CHECK(computeReport(input).rows.size() == 7);
}

TEST_CASE("A report is complete and in force everywhere only without gaps")
{
    ReportInput input = sampleInput();
    const ReportFigures gaps = computeReport(input);
    CHECK_FALSE(gaps.complete());
    CHECK_FALSE(gaps.inForceEverywhere());
    input.statuses.pop_back();
    input.dataCentres = { DataCentreId("lima-a") };
    input.listedBalancers = { BalancerId("vm-1") };
    CHECK(computeReport(input).complete());
    CHECK(computeReport(input).inForceEverywhere());
    input.configVersion = ConfigVersion(13);
    CHECK_FALSE(computeReport(input).inForceEverywhere());
}

TEST_CASE("decodeStatus rejects an invalid status object and ignores members of the wrong type")
{
    for (const json& bad : { json(), json::array(), json { { "dataCentre", 3 } }, json { { "dataCentre", "a" } } })
        CHECK_FALSE(isOk(decodeStatus(bad)));
    CHECK(isOk(decodeStatus({ { "dataCentre", "a" }, { "writtenAtUnixMs", 5 }, { "balancers", "x" },
        { "services", { 1, "y", { { "targets", 7 } } } }, { "missingBalancers", { 1 } } })));
}
