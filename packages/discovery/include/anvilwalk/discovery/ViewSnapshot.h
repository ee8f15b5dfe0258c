#pragma once

#include <anvilwalk/membership.h>
#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk {

// The routes and targets known to one balancer, in the form in which it shares them with its peers. Contains only what
// the receiver does not have yet.
struct ViewSnapshot {
    // Null if the receiver has this configuration.
    RouteTablePointer routes;
    // All targets that were in the store at targetsVersion or terminated recently, or those that changed since the
    // receiver's version.
    std::vector<VersionedTarget> targets;
    // Whether these are all targets.
    bool complete = true;
    StoreVersion targetsVersion;
    // Time since the store last confirmed the targets.
    Duration targetsAge { 0 };
    // nullopt if the sender does not know them.
    std::optional<EvacuationStatus> evacuations {};
};

// Encodes a snapshot as JSON.
std::string encodeView(const ViewSnapshot&);

// Decodes a snapshot. InvalidArgument: the text is not a snapshot, or a field is missing or has an invalid value.
Result<ViewSnapshot> decodeView(std::string_view text);

} // namespace anvilwalk
