#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace anvilwalk {

// Share of a route's new flows that goes to one service.
struct WeightedService {
    ServiceName service;
    std::uint32_t weight = 1;
};

// Where the flows to one address go.
struct Route {
    std::string name;
    ServiceAddress address;
    // At least one, each with a weight above 0.
    std::vector<WeightedService> services;
};

// All routes of one configuration version. Immutable.
class RouteTable {
public:
    RouteTable(ConfigVersion, std::vector<Route>, std::chrono::milliseconds idleTimeout);

    ConfigVersion version() const { return m_version; }
    // A flow without a packet for this long may be forgotten.
    std::chrono::milliseconds idleTimeout() const { return m_idleTimeout; }
    const std::vector<Route>& routes() const { return m_routes; }
    // The route of an address; null if there is none.
    const Route* find(const ServiceAddress&) const;

private:
    ConfigVersion m_version;
    std::chrono::milliseconds m_idleTimeout;
    std::vector<Route> m_routes;
    absl::flat_hash_map<ServiceAddress, std::size_t> m_byAddress;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace anvilwalk
