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

// Settings of one balancer that routes by flow tokens, read from its TOML file.
struct EdgeSettings {
    BalancerId balancer;
    DataCentreId dataCentre;
    // Receives packets; clients receive resets at the same port.
    Ipv4Endpoint packetAddress;
    Ipv4Endpoint readyAddress;
    Ipv4Endpoint metricsAddress;
    Ipv4Endpoint storeAddress;
    // Answers other balancers; nothing if this one does not.
    std::optional<Ipv4Endpoint> peerAddress;
    // Addresses at which some other balancers answer. They may be stale.
    std::vector<Ipv4Endpoint> peers;
    std::uint32_t memoryMegabytes = 256;
    // Time within which a configuration must be in force.
    std::chrono::milliseconds configBound { 3000 };
    // Time without disturbance after which that bound holds again.
    std::chrono::milliseconds calmWindow { 4000 };
    // Time from the request to stop until the process is killed.
    std::chrono::milliseconds stopDeadline { 6000 };
};

// Reads settings from TOML text. All faults are reported together, each with its place and a hint.
std::variant<EdgeSettings, Findings> parseEdgeSettings(std::string_view text, const std::string& fileName);

// Reads settings from a file.
std::variant<EdgeSettings, Findings> loadEdgeSettings(const std::string& path);

} // namespace anvilwalk
