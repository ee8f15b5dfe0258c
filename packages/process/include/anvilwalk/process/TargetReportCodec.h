#pragma once

#include <anvilwalk/process/ControlPlane.h>

#include <string_view>

namespace anvilwalk {

// Reads the answer of a target's health endpoint. An answer that cannot be read counts as unreachable: it says
// nothing about the target.
TargetReport readTargetReport(TargetId, unsigned httpStatus, std::string_view body);

} // namespace anvilwalk
