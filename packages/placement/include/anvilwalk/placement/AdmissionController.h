#pragma once

#include <anvilwalk/placement/RouteTable.h>
#include <anvilwalk/placement/SharedTargetLoad.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

namespace anvilwalk {

// Requests in progress per slot up to which all flows are admitted, and from which on none are. The share falls
// gradually in between.
struct AdmissionRange {
    double begin = 0;
    double end = 1;

    double shareAt(double load) const;
};

struct AdmissionOptions {
    // The load of targets of this data centre counts. Targets elsewhere get flows before these are full, so that full
    // ones show that there is no room elsewhere either.
    DataCentreId dataCentre;
    // One request in work and two waiting keep a slot busy, also where the load is uneven or its estimate too high;
    // more only wait. Flows of the highest priority are never refused: targets reject what they have no room for.
    AdmissionRange lessUrgent { .begin = 3, .end = 3.5 };
    // Averages the load, because a balancer has few requests at a time. Several times a response time, and below the
    // time in which callers notice.
    std::chrono::milliseconds averagingTime { 400 };
    std::uint64_t seed = 0;
};

// Refuses new flows of a service whose targets have no room, the routes of lowest priority first. Targets without room
// queue requests, so the signal is the number of requests in progress per slot. Each balancer decides alone: it counts
// its own requests and takes the others in the load summary to have as many each. Without a summary nothing is refused.
class AdmissionController {
public:
    explicit AdmissionController(const AdmissionOptions&);

    // Sets the routes whose priorities count.
    void setRoutes(const RouteTable&);
    // Returns whether a new flow of a route may be opened at a service with these targets.
    bool admit(
        const Route&, const ServiceName&, const std::vector<Target*>&, const SharedLoadStatus&, MonotonicTime now);
    // Number of priorities of a service that are admitted, the last one in part; 0 if the service is not controlled.
    double admittedPriorities(const ServiceName&) const;
    // Probability that admit() would let a new flow pass, by the last update.
    double admittedShare(const Route&, const ServiceName&) const;
    std::uint64_t refused() const { return m_refused; }

private:
    struct ServiceState {
        // Priorities of the routes to the service, the most urgent first.
        std::vector<std::uint32_t> priorities;
        // Moving average of the requests in progress per slot, by all balancers.
        double load = 0;
        MonotonicTime updatedAt;
    };

    double shareOf(const ServiceState&, const Route&) const;
    double admittedOf(const ServiceState&) const;
    double currentLoad(const std::vector<Target*>&, const SharedLoadStatus&) const;

    AdmissionOptions m_options;
    pcg32 m_random;
    // Services with routes of several priorities.
    absl::flat_hash_map<ServiceName, ServiceState> m_services;
    std::uint64_t m_refused = 0;
};

} // namespace anvilwalk
