#include <anvilwalk/toml.h>
#include <anvilwalk/version.h>
#include <fakes/TestSeed.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <pcg_random.hpp>
#include <rapidcheck.h>
#include <set>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

std::string exampleText(const std::string& path)
{
    std::ifstream stream(std::filesystem::path(ANVILWALK_SOURCE_DIR) / "examples" / path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

const std::vector<std::string> examplePaths { "cordeles/dispatch/anvilwalk.toml",
    "cordeles/photo-intake/anvilwalk.toml", "lakeshore/routes/anvilwalk.toml",
    "lakeshore/scanner-intake/anvilwalk.toml" };

std::vector<ServiceFileText> exampleFiles()
{
    std::vector<ServiceFileText> files;
    files.reserve(examplePaths.size());
    for (const std::string& path : examplePaths)
        files.push_back({ .path = path, .text = exampleText(path) });
    return files;
}

std::string findingsOf(const std::string& text) { return readServiceFiles({ { "a.toml", text } }).findings.toString(); }

const std::string start = "user = \"cordeles\"\nservice = \"dispatch\"\ntraffic = \"stream\"\n"
                          "addresses = [\"203.0.113.10:443/tcp\"]\n";

// True if no two services of an accepted set share a name or an address.
bool isDisjoint(const ServiceFileSet& set)
{
    std::set<ServiceName> names;
    std::set<ServiceAddress> addresses;
    for (const ServiceFileEntry& service : set.services) {
        if (!names.insert(service.config.name).second || service.config.addresses.empty())
            return false;
        for (const ServiceAddress& address : service.config.addresses) {
            if (!addresses.insert(address).second)
                return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("The example service files are valid")
{
    const ServiceFileSet set = readServiceFiles(exampleFiles());
    CHECK(set.findings.toString().empty());
    REQUIRE(set.services.size() == 4);
    const ServiceConfig& dispatch = set.services[0].config;
    CHECK(dispatch.name == ServiceName("cordeles/dispatch"));
    CHECK(dispatch.traffic == TrafficKind::Stream);
    CHECK(dispatch.idleDeadline == 300s);
    CHECK(dispatch.drainDeadline == 8h);
    CHECK(dispatch.limits.newFlowsPerSecond == 3000);
    CHECK(set.services[2].config.dataCentreWeights.at(DataCentreId("glk-mke")) == 500);
    CHECK_FALSE(set.services[3].config.targetsFromVmList);
    CHECK(set.services[3].config.targets[3].weight == 500);
}

TEST_CASE("All faults of all service files are reported in one go")
{
    const std::string first = "user = \"cordeles\"\n"
                              "service = \"dispatch\"\n"
                              "traffic = \"streams\"\n"
                              "addresses = [\"203.0.113.10:443/tcp\", \"203.0.113.10:443\"]\n"
                              "idle_deadlin = \"300s\"\n"
                              "drain_deadline = 300\n"
                              "[limits]\n"
                              "open_flows = \"many\"\n";
    const std::string second = "user = \"cordeles\"\n"
                               "service = \"dispatch\"\n"
                               "traffic = \"stream\"\n"
                               "addresses = [\"203.0.113.10:443/tcp\"]\n"
                               "idle_deadline = \"5 min\"\n"
                               "targets = []\n";
    const ServiceFileSet set = readServiceFiles({ { "a.toml", first }, { "b.toml", second } });
    CHECK(set.findings.toString()
        == "a.toml:3:11: traffic = \"streams\" is unknown (write \"stream\" for flows that stay open for hours, else "
           "\"request\")\n"
           "a.toml:4:38: the address \"203.0.113.10:443\" is not valid (write IPv4 address, port and protocol, for "
           "example \"203.0.113.10:443/tcp\")\n"
           "a.toml:5:1: unknown key \"idle_deadlin\" in the service file (write idle_deadline)\n"
           "a.toml:6:18: drain_deadline has no unit (write drain_deadline = \"300s\"; units are ms, s, m and h)\n"
           "a.toml:8:14: open_flows is a string instead of an integer (write open_flows = 3000, or remove the key for "
           "no limit)\n"
           "b.toml:2:11: the service cordeles/dispatch is also described in a.toml:2 (give one of the two another "
           "name or remove its file)\n"
           "b.toml:4:14: the address 203.0.113.10:443/tcp is already used at a.toml:4 (use another address, port or "
           "protocol for one of the two)\n"
           "b.toml:5:17: idle_deadline = \"5 min\" is not a duration (write a whole number and one of ms, s, m and h, "
           "for example idle_deadline = \"300s\")\n"
           "b.toml:6:11: the service would lose its last target (keep at least one target whose weight and whose data "
           "centre's weight are above 0)\n");
}

TEST_CASE("A service that would lose its last target is refused")
{
    const std::string target
        = "[[targets]]\nhost = \"h1\"\ndata_centre = \"lima-a\"\ntunnel = \"10.0.0.1:5555\"\nweight = ";
    CHECK(findingsOf(start + target + "1\n").empty());
    CHECK(findingsOf(start + target + "0\n").find("lose its last target") != std::string::npos);
    CHECK(findingsOf(start + "[data_centres]\nlima-a = 0\n" + target + "1\n").find("lose its last target")
        != std::string::npos);
}

TEST_CASE("Single faults of a service file are found")
{
    const std::vector<std::pair<std::string, std::string>> cases {
        { "user = ", "a.toml:1:8: not valid TOML" },
        { "", "a.toml:1:1: the service file has no user" },
        { start + "idle_deadline = \"0s\"", "out of range" },
        { start + "idempotent = \"no\"", "without quotes" },
        { start + "[limits]\nnew_flows_per_second = 0", "out of range" },
        { start + "[data_centres]\nlima-a = 0.5", "thousandths" },
        { start + "limits = 3", "is not a table" },
        { start + "[targets]\nfrom = \"dns\"", "vm-list" },
        { start + "[targets]\nfrom = []", "lose its last target" },
        { start + "targets = [{host = \"h\"}]", "a target has no tunnel" },
        { "user = \"Cordeles\"\n", "is not a valid name" },
        { "addresses = [\"224.0.0.1:443/tcp\"]\n", "is not valid" },
        { "addresses = [\"1.2.3.4\\u0000:443/tcp\"]\n", "is not valid" },
    };
    for (const auto& [text, expected] : cases) {
        INFO(text);
        CHECK_THAT(findingsOf(text), Catch::Contains(expected));
    }
    CHECK_THAT(findingsOf(std::string(std::size_t { 300 } * 1024, '#')), Catch::Contains("larger than 256 KiB"));
    const std::string twoTargets = "host = \"h\"\ndata_centre = \"a\"\ntunnel = \"10.0.0.1:1\"\n";
    CHECK_THAT(findingsOf(start + "[[targets]]\n" + twoTargets + "[[targets]]\n" + twoTargets),
        Catch::Contains("occurs twice"));
}

// Guards against a crash on any input and against an accepted overlap, which would send packets of one service
// to another.
TEST_CASE("Random bytes never crash the service file reader")
{
    CHECK(rc::check([](const std::string& text, const std::vector<std::uint8_t>& bytes) {
        readServiceFiles({ { "a.toml", text }, { "b.toml", std::string(bytes.begin(), bytes.end()) } });
    }));
}

TEST_CASE("Mutated service files never crash the reader and never overlap when accepted")
{
    std::size_t accepted = 0;
    for (const std::uint64_t seed : fakes::testSeeds(3000)) {
        pcg32 random(seed);
        std::vector<ServiceFileText> files = exampleFiles();
        const std::uint32_t mutations = random(6);
        for (std::uint32_t mutation = 0; mutation < mutations; ++mutation) {
            std::string& text = files[random(static_cast<std::uint32_t>(files.size()))].text;
            const std::string& other = files[random(static_cast<std::uint32_t>(files.size()))].text;
            const std::size_t at = random(static_cast<std::uint32_t>(text.size() + 1));
            const std::size_t from = random(static_cast<std::uint32_t>(other.size() + 1));
            const std::size_t length = random(2) == 0 ? 1 : random(60);
            switch (random(4)) {
            case 0:
                text.erase(at, length);
                break;
            case 1:
                text.insert(at, std::string(other, from, length));
                break;
            case 2:
                text.replace(at, length, std::string(other, from, length));
                break;
            default:
                text.insert(at, 1, static_cast<char>(random(256)));
                break;
            }
        }
        // A copied file is the likeliest way to an overlap; with another name, only its addresses clash.
        if (random(2) == 0) {
            std::string copy = files[random(4)].text;
            const std::string key = "service = \"";
            if (const std::size_t at = copy.find(key); at != std::string::npos)
                copy.insert(at + key.size(), "copy-");
            files.push_back({ .path = "copy.toml", .text = copy });
        }
        const ServiceFileSet set = readServiceFiles(files);
        if (!set.findings.empty())
            continue;
        ++accepted;
        INFO("ANVILWALK_SEED=" << seed);
        REQUIRE(isDisjoint(set));
    }
    INFO("accepted " << accepted);
    CHECK((accepted > 100 || std::getenv("ANVILWALK_SEED") != nullptr));
}

TEST_CASE("Durations keep their value through text")
{
    for (const auto duration : { 1ms, 250ms, 1500ms, 90'000ms, 300'000ms, 28'800'000ms })
        CHECK(parseDuration(formatDuration(duration)) == duration);
    CHECK(formatDuration(8h) == "8h");
    for (const char* bad : { "", "s", "300", "-1s", "1.5h", "9223372036854775807h", "1 s", "1d" })
        CHECK_FALSE(parseDuration(bad).has_value());
}
