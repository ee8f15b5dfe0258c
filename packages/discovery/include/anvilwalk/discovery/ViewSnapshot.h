#pragma once

#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk {

// What one balancer knows of routes and targets, as it tells another.
struct ViewSnapshot {
    RouteTablePointer routes;
    // All targets that the store listed at targetsVersion.
    std::vector<VersionedTarget> targets;
    StoreVersion targetsVersion;
    // Time since the store last confirmed the targets.
    Duration targetsAge { 0 };
};

// A snapshot as JSON text.
std::string encodeView(const ViewSnapshot&);

// Reads a snapshot. InvalidArgument: the text is not one, or names something that no balancer would say.
Result<ViewSnapshot> decodeView(std::string_view text);

} // namespace anvilwalk
