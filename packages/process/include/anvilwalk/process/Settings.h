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
    // Receives the encapsulated TCP resets for clients. Without one, refused flows are dropped silently.
    std::optional<Ipv4Endpoint> refusalGateway;
    Ipv4Endpoint metricsAddress;
    std::string logLevel = "info";
    // One flow of this many is traced.
    std::uint32_t traceSampleEvery = 1000;
    // File for spans; empty: tracing is off; "-": standard error.
    std::string traceOutput;
    // Control endpoints of peers to contact before the VM list is known.
    std::vector<Ipv4Endpoint> seeds;
};

// Reads settings from TOML text. All faults are reported together, each with its place and a hint.
std::variant<Settings, Findings> parseSettings(std::string_view text, const std::string& fileName);

// Reads settings from a file.
std::variant<Settings, Findings> loadSettings(const std::string& path);

} // namespace anvilwalk
