#pragma once

#include <anvilwalk/units/StrongId.h>

#include <cstdint>
#include <string>

namespace anvilwalk {

// Number of a service, assigned by the first publish that names it and never reused. 0 means none.
using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;
// Number of a target within its data centre, never reused. 0 means none.
using TargetId = StrongId<struct TargetIdTag, std::uint32_t>;
// What the two ends of a flow carry in their packets so that every balancer finds the flow's target. Derived from the
// target's TargetKey and start time, equal on all balancers. 0 means none.
using FlowToken = StrongId<struct FlowTokenTag, std::uint32_t>;
// Number under which a target's host accepts packets. 0 means any host.
using TargetKey = StrongId<struct TargetKeyTag, std::uint64_t>;
// Index of a slot in the table of a service.
using SlotIndex = StrongId<struct SlotIndexTag, std::uint16_t>;
// Version of a data centre's slot tables; rises by one with each write. 0 means no table.
using TableVersion = StrongId<struct TableVersionTag, std::uint64_t>;
// Version of the published configuration; rises by one with each publish. 0 means no configuration.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
// Version that the object API assigned to an object.
using StoreVersion = StrongId<struct StoreVersionTag, std::uint64_t>;
// Distinguishes the runs of a balancer with the same id. A later run has a higher number.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
// Name of a balancer, unique within the system.
using BalancerId = StrongId<struct BalancerIdTag, std::string>;
// Name of a data centre.
using DataCentreId = StrongId<struct DataCentreIdTag, std::string>;
// Name of a service, "user/service".
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
// Id of one publish, unique.
using PublishId = StrongId<struct PublishIdTag, std::string>;

} // namespace anvilwalk
