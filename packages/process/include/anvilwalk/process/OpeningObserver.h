#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/request.h>

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <mutex>
#include <vector>

namespace anvilwalk {

// Watches how the flows that one thread forwards begin: an opening packet that is repeated speaks against its
// target, a later packet of the flow speaks for it. Remembers recent openings in a table of fixed size, where a
// newer flow may displace an older one; the counts are samples.
class OpeningObserver {
public:
    OpeningObserver();

    // A packet was forwarded to a target. To be called by one thread only.
    void note(std::uint64_t flowHash, PacketKind kind, TargetId target, MonotonicTime now)
    {
        const Opening& opening = m_openings[flowHash % openingCount];
        if (kind == PacketKind::Opening || opening.flowHash == flowHash)
            noteOpening(flowHash, kind, target, now);
    }
    // Counts since the last call. May be called by any thread.
    std::vector<TargetObservation> take();

private:
    // Room for about 2 s of openings at 3,000 a second.
    static constexpr std::size_t openingCount = 8192;

    struct Opening {
        std::uint64_t flowHash = 0;
        MonotonicTime at;
        TargetId target;
    };

    void noteOpening(std::uint64_t flowHash, PacketKind, TargetId, MonotonicTime now);
    void count(TargetId, std::uint32_t TargetObservation::*field);

    std::vector<Opening> m_openings;
    std::mutex m_mutex;
    absl::flat_hash_map<TargetId, TargetObservation> m_observations;
};

} // namespace anvilwalk
