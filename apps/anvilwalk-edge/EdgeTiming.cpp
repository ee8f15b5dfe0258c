#include "EdgeTiming.h"

#include <algorithm>

namespace anvilwalk {

namespace {

    using std::chrono::milliseconds;

    // Time to repeat a call that has failed, and to read a list.
    constexpr milliseconds rereadTime { 500 };
    constexpr milliseconds minWatchWait { 500 };
    // Time reserved for the read of targets that have grown too old.
    constexpr milliseconds targetsReadTime { 500 };
    // Time reserved for the read of evacuations that have grown too old.
    constexpr milliseconds evacuationsReadTime { 1000 };
    // Time reserved for followers to notice that relays are silent and to read the store themselves.
    constexpr milliseconds relayMargin { 2000 };
    // Time in which balancers that start together learn of each other.
    constexpr milliseconds relayStartupTime { 1500 };

} // namespace

milliseconds watchWaitOf(const EdgeSettings& settings)
{
    return std::max(minWatchWait, settings.stableWindow - storeCallTimeout - rereadTime);
}

RoutingViewOptions viewOptionsOf(const EdgeSettings& settings)
{
    const milliseconds bound = std::min(settings.configBound, settings.drainBound);
    EvacuationViewOptions evacuations;
    if (settings.evacuationBound) {
        evacuations.maxAge = std::max(*settings.evacuationBound - evacuationsReadTime, *settings.evacuationBound / 2);
        evacuations.relayMargin = std::min(relayMargin / 2, *evacuations.maxAge / 4);
    }
    return { .maxTargetsAge = std::max(settings.drainBound - targetsReadTime, settings.drainBound / 2),
        .maxRelayAge = std::max(bound - relayMargin, bound / 2),
        .relayMargin = std::min(relayMargin / 2, bound / 4),
        .startupTime = settings.heartbeatAddress ? relayStartupTime : milliseconds::zero(),
        .evacuations = evacuations };
}

} // namespace anvilwalk
