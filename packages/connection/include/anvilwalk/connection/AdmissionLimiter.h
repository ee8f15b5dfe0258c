#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <atomic>
#include <cstdint>
#include <optional>

namespace anvilwalk {

struct AdmissionLimits {
    // This balancer's share of the service's limit of new flows per second; 0 means no limit.
    std::uint32_t newFlowsPerSecond = 0;
    // Number of flows that may open at once after an idle period.
    std::uint32_t burst = 0;
    // This balancer's share of the service's limit of open flows; 0 means no limit.
    std::uint32_t openFlows = 0;
};

// Limits the new flows of one service by rate (token bucket) and by the number of open flows. Lock-free and
// thread-safe.
class AdmissionLimiter {
public:
    explicit AdmissionLimiter(const AdmissionLimits&);

    // Returns std::nullopt if the flow may open, otherwise the limit that it would exceed.
    std::optional<DropReason> admit(MonotonicTime now, std::uint64_t openFlows);

private:
    AdmissionLimits m_limits;
    // Theoretical arrival time of the generic cell rate algorithm, in nanoseconds: the bucket is full again then.
    std::atomic<std::int64_t> m_theoreticalArrivalNs { 0 };
};

} // namespace anvilwalk
