#include <platform/EntryDecoder.h>

#include <catch2/catch.hpp>
#include <limits>
#include <utility>
#include <vector>

using namespace anvilwalk;
using namespace anvilwalk::platform;
using nlohmann::json;

namespace {

json targetObject()
{
    return json::parse(R"({
        "meta": {"name": "i-7f3a91c2aa", "revision": 12, "created_rev": 3, "finalizers": [], "deleting": false},
        "spec": {"service": "huvo11a", "address": "10.128.0.9:8080", "zone": "lima-a", "version": "v1", "slots": 3,
            "state": "ready", "cold_remaining_ms": 1500, "sequence": 4, "born": 1789936067018},
        "status": null})");
}

json routesObject()
{
    return json::parse(R"({
        "meta": {"name": "main", "revision": 9},
        "spec": {"version": 7, "routes": [
            {"name": "r-1", "host": "198.18.0.1", "path_prefix": "/8443/", "route_type": "safe",
             "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]},
            {"name": "r-2", "host": "198.18.0.2", "path_prefix": "/8443/", "route_type": "upload", "service": "b"}],
          "services": [], "limits": {"idle_timeout_ms": 15000}}})");
}

StoreEntry decodeTarget(const json& object)
{
    auto entry = decodeTargetObject(object);
    REQUIRE(isOk(entry));
    return valueOf(entry);
}

void checkInvalid(const json& object)
{
    const StoreEntry entry = decodeTarget(object);
    CHECK(std::holds_alternative<std::monostate>(entry.content));
    CHECK_FALSE(entry.error.empty());
}

} // namespace

TEST_CASE("decodeTargetObject decodes the object that a host publishes")
{
    const StoreEntry entry = decodeTarget(targetObject());
    CHECK(entry.name == "i-7f3a91c2aa");
    CHECK(entry.version == StoreVersion(12));
    const auto& record = std::get<TargetRecord>(entry.content);
    CHECK(record.key == TargetKey(0x7f3a91c2aa));
    CHECK(record.startedMs == 1789936067018);
    CHECK(record.service == ServiceName("huvo11a"));
    CHECK(record.address.toString() == "10.128.0.9:8080");
    CHECK(record.dataCentre == DataCentreId("lima-a"));
    CHECK(record.slots == 3);
    CHECK(record.state == TargetState::Ready);
    CHECK(record.coldRemaining == std::chrono::milliseconds(1500));
}

// Guards against traffic to a store entry that was not written by a target.
TEST_CASE("decodeTargetObject returns no target for an object with missing or invalid fields")
{
    for (const char* name :
        { "service", "address", "zone", "slots", "state", "cold_remaining_ms", "sequence", "born" }) {
        json missing = targetObject();
        missing["spec"].erase(name);
        checkInvalid(missing);
        json otherType = targetObject();
        otherType["spec"][name] = json::array({ 1 });
        checkInvalid(otherType);
    }
    const std::vector<std::pair<const char*, json>> wrongValues { { "state", "retired" }, { "address", "10.0.0.1" },
        { "slots", 0 }, { "slots", -1 }, { "born", 1.5 } };
    for (const auto& [name, value] : wrongValues) {
        json changed = targetObject();
        changed["spec"][name] = value;
        checkInvalid(changed);
    }
    json noSpec = targetObject();
    noSpec["spec"] = nullptr;
    checkInvalid(noSpec);
    json badName = targetObject();
    badName["meta"]["name"] = "leader";
    checkInvalid(badName);
}

// Guards against a target that peers reject together with the whole view that holds it.
TEST_CASE("decodeTargetObject rejects values that balancers cannot pass on to each other")
{
    const std::vector<std::pair<const char*, json>> values { { "service", "" }, { "zone", "" },
        { "service", std::string(2000, 's') }, { "zone", std::string(2000, 'z') },
        { "cold_remaining_ms", 4'294'967'296U }, { "cold_remaining_ms", std::numeric_limits<std::uint64_t>::max() },
        { "address", "10.0.0.1:65536" }, { "slots", 4'294'967'297U } };
    for (const auto& [name, value] : values) {
        json changed = targetObject();
        changed["spec"][name] = value;
        checkInvalid(changed);
    }
}

TEST_CASE("decodeTargetObject rejects an object without name or revision")
{
    CHECK_FALSE(isOk(decodeTargetObject(json(3))));
    CHECK_FALSE(isOk(decodeTargetObject(json::object())));
    json object = targetObject();
    object["meta"].erase("revision");
    CHECK_FALSE(isOk(decodeTargetObject(object)));
}

TEST_CASE("parseTargetKey parses the hexadecimal number of an id")
{
    CHECK(valueOf(parseTargetKey("i-8b2856c436")) == TargetKey(0x8b2856c436));
    CHECK(valueOf(parseTargetKey("ffffffffffffffff")) == TargetKey(0xffffffffffffffff));
    for (const char* id : { "", "i-", "i-xyz", "i-12 ", "i-10000000000000000", "i-0" })
        CHECK_FALSE(isOk(parseTargetKey(id)));
}

TEST_CASE("decodeRoutesObject decodes routes with one or several services")
{
    const auto entry = decodeRoutesObject(routesObject());
    REQUIRE(isOk(entry));
    const auto& table = std::get<RouteTablePointer>(valueOf(entry).content);
    CHECK(table->version() == ConfigVersion(7));
    CHECK(table->idleTimeout() == std::chrono::seconds(15));
    REQUIRE(table->routes().size() == 2);
    const Route* split = table->find({ .address = *Ipv4Address::parse("198.18.0.1"), .port = 8443 });
    REQUIRE(split != nullptr);
    REQUIRE(split->services.size() == 2);
    CHECK(split->services[0].weight == 90);
    const Route* single = table->find({ .address = *Ipv4Address::parse("198.18.0.2"), .port = 8443 });
    REQUIRE(single != nullptr);
    CHECK(single->services.front().service == ServiceName("b"));
    CHECK(table->find({ .address = *Ipv4Address::parse("198.18.0.2"), .port = 443 }) == nullptr);
}

// Guards against the end of the process: a weight that is 0 after conversion leaves no service to choose from.
TEST_CASE("decodeRoutesObject rejects a weight that is out of range")
{
    json object = routesObject();
    json& weight = object["spec"]["routes"][0]["split"][0]["weight"];
    weight = std::numeric_limits<std::uint32_t>::max();
    CHECK(std::holds_alternative<RouteTablePointer>(valueOf(decodeRoutesObject(object)).content));
    weight = 4'294'967'296U;
    const auto entry = decodeRoutesObject(object);
    REQUIRE(isOk(entry));
    CHECK(std::holds_alternative<std::monostate>(valueOf(entry).content));
    CHECK_FALSE(valueOf(entry).error.empty());
}

// Guards against a partially applied configuration.
TEST_CASE("decodeRoutesObject rejects a configuration with an invalid route")
{
    for (const char* prefix : { "8443", "/8443", "/", "//", "/0/", "/99999/", "/84 43/", "/a/" }) {
        json object = routesObject();
        object["spec"]["routes"][1]["path_prefix"] = prefix;
        const auto entry = decodeRoutesObject(object);
        REQUIRE(isOk(entry));
        CHECK(std::holds_alternative<std::monostate>(valueOf(entry).content));
        CHECK_FALSE(valueOf(entry).error.empty());
    }
    json other = routesObject();
    other["meta"]["name"] = "draft";
    CHECK(std::holds_alternative<std::monostate>(valueOf(decodeRoutesObject(other)).content));
}

TEST_CASE("decodeRoutesObject decodes what routes carry and the limits of warming targets")
{
    json object = routesObject();
    json& route = object["spec"]["routes"][1];
    route["route_type"] = "download";
    route["priority"] = 2U;
    route["timeout_ms"] = 10'000U;
    route["target_latency_ms"] = 1'500U;
    object["spec"]["services"] = json::parse(R"([{"name": "a", "cold_per_s": 0.0}, {"name": "b", "cold_per_s": 4.5}])");
    const auto entry = decodeRoutesObject(object);
    REQUIRE(isOk(entry));
    const auto* routes = std::get_if<RouteTablePointer>(&valueOf(entry).content);
    REQUIRE(routes != nullptr);
    const Route& download = (*routes)->routes().at(1);
    CHECK(download.kind == RouteKind::Download);
    CHECK(download.priority == 2);
    CHECK(download.timeout == std::chrono::milliseconds(10'000));
    CHECK(download.latencyTarget == std::chrono::milliseconds(1'500));
    CHECK((*routes)->sharesLoad());
    CHECK((*routes)->hasPriorities());
    REQUIRE((*routes)->warmUpLimits().size() == 1);
    CHECK((*routes)->warmUpLimits()[0].service == ServiceName("b"));
    CHECK((*routes)->warmUpLimits()[0].flowsPerSecond == 4.5);
}

// Guards against a configuration that is rejected as a whole for a field that routing does not need.
TEST_CASE("decodeRoutesObject keeps a route whose optional fields are invalid")
{
    json object = routesObject();
    object["spec"]["routes"][0]["priority"] = "high";
    object["spec"]["routes"][0]["timeout_ms"] = -4;
    object["spec"]["routes"][0]["route_type"] = json::array();
    object["spec"]["services"] = "?";
    const auto entry = decodeRoutesObject(object);
    REQUIRE(isOk(entry));
    const auto* routes = std::get_if<RouteTablePointer>(&valueOf(entry).content);
    REQUIRE(routes != nullptr);
    CHECK((*routes)->routes()[0].priority == 0);
    CHECK((*routes)->routes()[0].timeout == std::chrono::milliseconds(0));
    CHECK((*routes)->routes()[0].kind == RouteKind::Unknown);
}

TEST_CASE("decodeEvacuationObject accepts any content")
{
    for (const char* spec : { "{}", "null", "[1]", R"("?")" }) {
        const auto entry = decodeEvacuationObject(
            { { "meta", { { "name", "lima-a" }, { "revision", 4U } } }, { "spec", json::parse(spec) } });
        REQUIRE(isOk(entry));
        CHECK(valueOf(entry).name == "lima-a");
        CHECK(valueOf(entry).error.empty());
    }
}
