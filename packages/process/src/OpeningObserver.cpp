#include <anvilwalk/process/OpeningObserver.h>

namespace anvilwalk {

namespace {

    // A copy that arrives earlier was duplicated by the network: TCP retransmits an opening packet after about 1 s.
    constexpr std::chrono::milliseconds minRepeatInterval { 500 };

} // namespace

OpeningObserver::OpeningObserver()
    : m_openings(openingCapacity)
{
}

void OpeningObserver::observeOpening(std::uint64_t flowHash, PacketKind kind, TargetId target, MonotonicTime now)
{
    Opening& opening = m_openings[flowHash % openingCapacity];
    if (kind != PacketKind::Opening) {
        // A closing packet, such as a reset by the client, is no evidence about the target.
        if (kind == PacketKind::Data)
            count(opening.target, &TargetObservation::progressedFlows);
        opening = {};
        return;
    }
    const bool known = opening.flowHash == flowHash && opening.target == target;
    if (known && now - opening.at < minRepeatInterval)
        return;
    if (known)
        count(target, &TargetObservation::repeatedOpenings);
    opening = { .flowHash = flowHash, .at = now, .target = target };
}

void OpeningObserver::count(TargetId target, std::uint32_t TargetObservation::*field)
{
    const std::lock_guard lock(m_mutex);
    TargetObservation& observation = m_observations[target];
    observation.target = target;
    ++(observation.*field);
}

std::vector<TargetObservation> OpeningObserver::take()
{
    const std::lock_guard lock(m_mutex);
    std::vector<TargetObservation> result;
    result.reserve(m_observations.size());
    for (const auto& [target, observation] : m_observations)
        result.push_back(observation);
    m_observations.clear();
    return result;
}

} // namespace anvilwalk
