#pragma once

#include <anvilwalk/process/ControlPlane.h>

#include <string_view>

namespace anvilwalk {

// Decodes a response of a target's health endpoint. A response with another HTTP status than 200 or 503, or with an
// invalid body, is reported as unreachable, because it carries no information about the target.
TargetReport decodeTargetReport(TargetId, unsigned httpStatus, std::string_view body);

} // namespace anvilwalk
