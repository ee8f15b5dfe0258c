#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/request.h>

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <mutex>
#include <vector>

namespace anvilwalk {

// Passive health check of targets from the flows that one thread forwards: a retransmitted opening packet is a sign
// of a failed target, a later packet of the flow is a sign of a healthy one. Keeps recent openings in a table of fixed
// size, where a newer flow may overwrite an older one, so that the counts are samples.
class OpeningObserver {
public:
    OpeningObserver();

    // Processes a packet that was forwarded to a target. Call it from one thread only.
    void observe(std::uint64_t flowHash, PacketKind kind, TargetId target, MonotonicTime now)
    {
        const Opening& opening = m_openings[flowHash % openingCapacity];
        if (kind == PacketKind::Opening || opening.flowHash == flowHash)
            observeOpening(flowHash, kind, target, now);
    }
    // Returns and resets the counts since the last call. Thread-safe.
    std::vector<TargetObservation> take();

private:
    // Holds about 2 s of openings at 3,000 per second.
    static constexpr std::size_t openingCapacity = 8192;

    struct Opening {
        std::uint64_t flowHash = 0;
        MonotonicTime at;
        TargetId target;
    };

    void observeOpening(std::uint64_t flowHash, PacketKind, TargetId, MonotonicTime now);
    void count(TargetId, std::uint32_t TargetObservation::*field);

    std::vector<Opening> m_openings;
    std::mutex m_mutex;
    absl::flat_hash_map<TargetId, TargetObservation> m_observations;
};

} // namespace anvilwalk
