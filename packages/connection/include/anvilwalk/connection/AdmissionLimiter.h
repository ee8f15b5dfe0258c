#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <atomic>
#include <cstdint>
#include <optional>

namespace anvilwalk {

struct AdmissionLimits {
    // Share of this balancer of the service's new flows a second; 0 means no limit.
    std::uint32_t newFlowsPerSecond = 0;
    // Flows that may open at once after a pause.
    std::uint32_t burst = 0;
    // Share of this balancer of the service's open flows; 0 means no limit.
    std::uint32_t openFlows = 0;
};

// Limits the opening packets of one service by a token bucket and a count of open flows. Lock-free; safe for
// use by several threads.
class AdmissionLimiter {
public:
    explicit AdmissionLimiter(const AdmissionLimits&);

    // Nothing if the flow may open, else the limit that it would exceed.
    std::optional<DropReason> admit(MonotonicTime now, std::uint64_t openFlows);

private:
    AdmissionLimits m_limits;
    // Time at which the bucket is full again, in nanoseconds (generic cell rate algorithm).
    std::atomic<std::int64_t> m_theoreticalArrivalNs { 0 };
};

} // namespace anvilwalk
