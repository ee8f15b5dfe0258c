#pragma once

#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/RouteTable.h>
#include <anvilwalk/placement/SharedTargetLoad.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

namespace anvilwalk {

struct AdmissionOptions {
    // Part of the latency target of a service's most urgent route that half of its responses may take. The slowest
    // responses take about four times as long as the middle one, and these must meet the target too.
    double maxMedianShare = 0.25;
    std::chrono::milliseconds updateInterval { 100 };
    // Change of the number of admitted priorities in one update. Down in proportion to how far the median response time
    // is above its limit, at most by maxDecrease; up by a fixed step, so that the load returns gradually.
    double decreaseGain = 0.3;
    double maxDecrease = 0.15;
    double increase = 0.05;
    // Share of the most urgent flows that is always admitted, so that the end of an overload is noticed.
    double minAdmitted = 0.1;
    // Without a response for this long, nothing is known of the load.
    std::chrono::milliseconds maxSilence { 1000 };
    std::uint64_t seed = 0;
};

// Refuses new flows of a service whose targets lack room, the routes of lowest priority first. Targets that lack room
// queue requests, so the signal is what callers get: the median of the last response times of all targets of the
// service, in whichever data centre. Some slow or failed targets do not move it. Each balancer decides by its own
// responses; without them, nothing is refused.
class AdmissionController final : public ResponseListener {
public:
    explicit AdmissionController(const AdmissionOptions&);

    // Sets the routes whose priorities and latency targets count.
    void setRoutes(const RouteTable&);
    // Returns whether a new flow of a route may be opened at a target of a service.
    bool admit(const Route&, const ServiceName&, MonotonicTime now);
    void onResponse(const ServiceName&, Duration) override;
    // Number of priorities of a service that are admitted, the last one in part; 0 if the service is not controlled.
    double admittedPriorities(const ServiceName&) const;
    // Probability that admit() would let a new flow pass, by the last update.
    double admittedShare(const Route&, const ServiceName&) const;
    std::uint64_t refused() const { return m_refused; }

private:
    // The last response times of a service.
    struct ResponseWindow {
        static constexpr std::size_t size = 32;
        std::array<Duration, size> times {};
        std::size_t count = 0;
        // Responses since the last update.
        std::size_t added = 0;

        void add(Duration);
        Duration median() const;
    };
    struct ServiceState {
        // Priorities of the routes to the service, the most urgent first.
        std::vector<std::uint32_t> priorities;
        // Shortest latency target of the routes of the most urgent priority.
        std::chrono::milliseconds latencyTarget { 0 };
        ResponseWindow responses;
        double admitted = 1;
        MonotonicTime updatedAt;
        MonotonicTime respondedAt;
    };

    static void addRoute(ServiceState&, const Route&);
    static double shareOf(const ServiceState&, const Route&);
    void update(ServiceState&, MonotonicTime now) const;

    AdmissionOptions m_options;
    pcg32 m_random;
    // Services with routes of several priorities.
    absl::flat_hash_map<ServiceName, ServiceState> m_services;
    std::uint64_t m_refused = 0;
};

} // namespace anvilwalk
