#pragma once

#include <anvilwalk/version/TableSnapshot.h>

#include <functional>

namespace anvilwalk {

// Target that takes the opening packets of a slot whose target is doubted: the first in rendezvous order among
// the service's targets that are neither doubted nor leaving. Equal on all balancers with the same table and
// doubts. The id 0 if there is none.
TargetId doubtFallback(const ServiceSlots&, ServiceId, SlotIndex, const std::function<bool(TargetId)>& isDoubted);

} // namespace anvilwalk
