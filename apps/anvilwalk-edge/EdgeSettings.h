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

// Settings of a balancer that routes by flow tokens, read from a TOML file.
struct EdgeSettings {
    BalancerId balancer;
    DataCentreId dataCentre;
    // Address on which packets are received. Resets are sent to clients at the same port number.
    Ipv4Endpoint packetAddress;
    Ipv4Endpoint readyAddress;
    Ipv4Endpoint metricsAddress;
    Ipv4Endpoint storeAddress;
    // Address at which other balancers read this one's view; nullopt disables the server.
    std::optional<Ipv4Endpoint> peerAddress;
    // Address for heartbeats of the balancers of a data centre; nullopt disables them, and this balancer follows the
    // store itself. Needs a peerAddress.
    std::optional<Ipv4Endpoint> heartbeatAddress;
    // Address for load reports of the balancers of a data centre; nullopt disables them. Needs a heartbeatAddress.
    std::optional<Ipv4Endpoint> loadReportAddress;
    // Addresses at which other balancers serve their views. Incomplete and possibly stale.
    std::vector<Ipv4Endpoint> peers;
    std::uint32_t memoryMegabytes = 256;
    // Time within which a new configuration must be in force.
    std::chrono::milliseconds configBound { 3000 };
    // Time within which a target that drains must get no new flows.
    std::chrono::milliseconds drainBound { 3000 };
    // Time within which targets of an evacuated data centre must get no new flows; nullopt if operators do not evacuate
    // data centres.
    std::optional<std::chrono::milliseconds> evacuationBound;
    // In any second, a target that warms up may get the rate of its service's configuration times this factor, plus the
    // slack.
    double warmUpFactor = 1;
    double warmUpSlack = 0;
    // Time without faults after which these bounds apply again.
    std::chrono::milliseconds stableWindow { 4000 };
    // Time from the stop signal until the process is killed.
    std::chrono::milliseconds stopDeadline { 6000 };
};

// Parses settings from TOML text. Returns all errors together, each with its position and a hint.
std::variant<EdgeSettings, Findings> parseEdgeSettings(std::string_view text, const std::string& fileName);

// Reads settings from a file; an unreadable file is reported as a finding.
std::variant<EdgeSettings, Findings> loadEdgeSettings(const std::string& path);

} // namespace anvilwalk
