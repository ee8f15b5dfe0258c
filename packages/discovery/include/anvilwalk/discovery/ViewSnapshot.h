#pragma once

#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk {

// The routes and targets known to one balancer, in the form in which it shares them with its peers.
struct ViewSnapshot {
    RouteTablePointer routes;
    // All targets in the store at targetsVersion.
    std::vector<VersionedTarget> targets;
    StoreVersion targetsVersion;
    // Time since the store last confirmed the targets.
    Duration targetsAge { 0 };
};

// Encodes a snapshot as JSON.
std::string encodeView(const ViewSnapshot&);

// Decodes a snapshot. InvalidArgument: the text is not a snapshot, or a field is missing or has an invalid value.
Result<ViewSnapshot> decodeView(std::string_view text);

} // namespace anvilwalk
