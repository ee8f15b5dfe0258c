#pragma once

#include <anvilwalk/units/StrongId.h>

#include <cstdint>
#include <string>

namespace anvilwalk {

// Numeric id of a service, assigned by the first publish that contains it and never reused. 0 means none.
using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;
// Numeric id of a target, unique within its data centre and never reused. 0 means none.
using TargetId = StrongId<struct TargetIdTag, std::uint32_t>;
// Token that both endpoints of a flow put into their packets, so that any balancer can find the flow's target. Derived
// from the target's TargetKey and equal on all balancers. 0 means none.
using FlowToken = StrongId<struct FlowTokenTag, std::uint32_t>;
// Key by which a target's host accepts packets for the target. 0 means any host.
using TargetKey = StrongId<struct TargetKeyTag, std::uint64_t>;
// Index of a slot in the slot table of a service.
using SlotIndex = StrongId<struct SlotIndexTag, std::uint16_t>;
// Version of a data centre's slot tables; incremented by each write. 0 means no table.
using TableVersion = StrongId<struct TableVersionTag, std::uint64_t>;
// Version of the published configuration; incremented by each publish. 0 means no configuration.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
// Version that the object API assigns to an object.
using StoreVersion = StrongId<struct StoreVersionTag, std::uint64_t>;
// Distinguishes runs of a balancer with the same id; increases with each restart.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
// Name of a balancer, unique within the system.
using BalancerId = StrongId<struct BalancerIdTag, std::string>;
// Name of a data centre.
using DataCentreId = StrongId<struct DataCentreIdTag, std::string>;
// Name of a service, "user/service".
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
// Unique id of a publish operation.
using PublishId = StrongId<struct PublishIdTag, std::string>;

} // namespace anvilwalk
