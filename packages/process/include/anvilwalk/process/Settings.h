#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvilwalk {

// Settings of one balancer process, read from its TOML file.
struct Settings {
    BalancerId balancer;
    DataCentreId dataCentre;
    Ipv4Endpoint packetAddress;
    Ipv4Endpoint relayAddress;
    Ipv4Endpoint controlAddress;
    std::uint32_t threads = 2;
    std::uint32_t flowCapacity = 300'000;
    std::chrono::seconds drainDeadline { 30 };
    std::string platformUrl;
    std::chrono::milliseconds platformTimeout { 1000 };
    // Gateway that receives the encapsulated TCP resets for clients. If absent, refused flows are dropped without a
    // reset.
    std::optional<Ipv4Endpoint> refusalGateway;
    Ipv4Endpoint metricsAddress;
    std::string logLevel = "info";
    // One flow in this many is traced.
    std::uint32_t traceSampleEvery = 1000;
    // File that spans are written to; "-" is standard error. Tracing is off if empty.
    std::string traceOutput;
    // Control endpoints of peers to contact before the VM list is available.
    std::vector<Ipv4Endpoint> seeds;
};

// Parses settings from TOML text. Reports all errors together, each with its position and a hint.
std::variant<Settings, Findings> parseSettings(std::string_view text, const std::string& fileName);

// Reads and parses a settings file.
std::variant<Settings, Findings> loadSettings(const std::string& path);

} // namespace anvilwalk
