#pragma once

#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/RouteTable.h>
#include <anvilwalk/placement/SharedTargetLoad.h>
#include <anvilwalk/placement/TargetCatalogue.h>
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
    // Ratio of the median response time to the usual one above which targets lack room: requests then wait for longer
    // than they run.
    double maxSlowdown = 2.0;
    // Requests in progress per slot of the targets in use, above which slow responses are due to load and not to slow
    // targets or links.
    double minLoad = 1.5;
    // Time constants with which the usual response time follows a higher and a lower median. A load that lasts for
    // longer becomes usual.
    std::chrono::milliseconds usualRiseTime { 60'000 };
    std::chrono::milliseconds usualFallTime { 2'000 };
    std::chrono::milliseconds updateInterval { 100 };
    // Change of the number of admitted priorities in one update. Down in proportion to how far the median response time
    // is above its limit, at most by maxDecrease; up by a fixed step, so that the load returns gradually.
    double decreaseGain = 1.0;
    double maxDecrease = 0.15;
    double increase = 0.05;
    // Share of the most urgent flows that is always admitted, so that the end of an overload is noticed.
    double minAdmitted = 1.0;
    // Without a response for this long, nothing is known of the load.
    std::chrono::milliseconds maxSilence { 1000 };
    std::uint64_t seed = 0;
};

// Refuses new flows of a service whose targets lack room, the routes of lowest priority first. Targets that lack room
// queue requests, so the signal is what callers get: the median of the last response times of all targets of the
// service, in whichever data centre. Some slow or failed targets do not move it. Besides, the last load summary must
// show that the targets are loaded; without a summary or responses, nothing is refused.
class AdmissionController final : public ResponseListener {
public:
    explicit AdmissionController(const AdmissionOptions&);

    // Sets the routes whose priorities count.
    void setRoutes(const RouteTable&);
    // Returns whether a new flow of a route may be opened at a target of a service.
    bool admit(
        const Route&, const ServiceName&, const std::vector<Target*>&, const SharedLoadStatus&, MonotonicTime now);
    void onResponse(const ServiceName&, Duration) override;
    // Number of priorities of a service that are admitted, the last one in part; 0 if the service is not controlled.
    double admittedPriorities(const ServiceName&) const;
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
        ResponseWindow responses;
        // Median response time without overload; 0 until it is known.
        Duration usual { 0 };
        double admitted = 1;
        MonotonicTime updatedAt;
        MonotonicTime respondedAt;
    };

    void update(ServiceState&, const std::vector<Target*>&, const SharedLoadStatus&, MonotonicTime now) const;
    // Returns by how much the median response time exceeds its limit, as a part of the limit; at most 0 if the targets
    // have room.
    double excessOf(ServiceState&, const std::vector<Target*>&, const SharedLoadStatus&, Duration elapsed) const;

    AdmissionOptions m_options;
    pcg32 m_random;
    // Services with routes of several priorities.
    absl::flat_hash_map<ServiceName, ServiceState> m_services;
    std::uint64_t m_refused = 0;
};

} // namespace anvilwalk
