#pragma once

#include "EdgeSettings.h"
#include "RoutingView.h"

#include <chrono>

namespace anvilwalk {

// Time in which a call to the store that gets no response fails.
inline constexpr std::chrono::milliseconds storeCallTimeout { 1500 };

// Longest wait of a watch. A connection that has gone silent is noticed, and everything read anew over another one,
// within the stable window: after that the bounds hold again.
std::chrono::milliseconds watchWaitOf(const EdgeSettings&);

// Limits on the age of routes and targets with which changes are in force within their bounds, also while all relays
// are cut off.
RoutingViewOptions viewOptionsOf(const EdgeSettings&);

} // namespace anvilwalk
