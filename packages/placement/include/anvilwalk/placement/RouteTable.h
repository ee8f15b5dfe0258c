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

// A service of a route. New flows are split over a route's services in proportion to their weights.
struct WeightedService {
    ServiceName service;
    std::uint32_t weight = 1;
};

// The services that receive the flows to one address.
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
    // Time without a packet after which the state of a flow may be discarded.
    std::chrono::milliseconds idleTimeout() const { return m_idleTimeout; }
    const std::vector<Route>& routes() const { return m_routes; }
    // Returns the route of an address, or null if there is none.
    const Route* find(const ServiceAddress&) const;

private:
    ConfigVersion m_version;
    std::chrono::milliseconds m_idleTimeout;
    std::vector<Route> m_routes;
    absl::flat_hash_map<ServiceAddress, std::size_t> m_byAddress;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace anvilwalk
