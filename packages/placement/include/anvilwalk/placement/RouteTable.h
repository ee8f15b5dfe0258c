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

// What kind of requests the flows of a route carry.
enum class RouteKind : std::uint8_t {
    Unknown,
    // Idempotent requests with short responses.
    Safe,
    // Requests that may run at most once.
    Unsafe,
    // Requests with a large body.
    Upload,
    // Idempotent requests with a large response.
    Download,
};

// The services that receive the flows to one address.
struct Route {
    std::string name;
    ServiceAddress address;
    // At least one, each with a weight above 0.
    std::vector<WeightedService> services;
    RouteKind kind = RouteKind::Unknown;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Time in which a client expects the response, and time after which it gives up; 0 if unknown.
    std::chrono::milliseconds latencyTarget { 0 };
    std::chrono::milliseconds timeout { 0 };
};

// Limit on new flows to targets that have just started.
struct WarmUpLimit {
    ServiceName service;
    // New flows in a second to each target in its warm-up time, over all balancers; above 0.
    double flowsPerSecond = 0;
};

// All routes of one configuration version. Immutable.
class RouteTable {
public:
    RouteTable(ConfigVersion, std::vector<Route>, std::chrono::milliseconds idleTimeout,
        std::vector<WarmUpLimit> warmUpLimits = {});

    ConfigVersion version() const { return m_version; }
    // Time without a packet after which the state of a flow may be discarded.
    std::chrono::milliseconds idleTimeout() const { return m_idleTimeout; }
    const std::vector<Route>& routes() const { return m_routes; }
    const std::vector<WarmUpLimit>& warmUpLimits() const { return m_warmUpLimits; }
    // Whether balancers share what they see of targets. Downloads occupy a target for times that no single balancer can
    // estimate from its own share of the flows.
    bool sharesLoad() const { return m_sharesLoad; }
    // Whether some routes are more urgent than others.
    bool hasPriorities() const { return m_hasPriorities; }
    // Returns the route of an address, or null if there is none.
    const Route* find(const ServiceAddress&) const;

private:
    ConfigVersion m_version;
    std::chrono::milliseconds m_idleTimeout;
    std::vector<Route> m_routes;
    std::vector<WarmUpLimit> m_warmUpLimits;
    bool m_sharesLoad = false;
    bool m_hasPriorities = false;
    absl::flat_hash_map<ServiceAddress, std::size_t> m_byAddress;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace anvilwalk
