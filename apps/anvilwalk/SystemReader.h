#pragma once

#include <anvilwalk/process.h>

namespace anvilwalk {

// What the object API tells about the running system, as input of a report.
struct SystemState {
    ConfigIndex index;
    ReportInput report;
};

// Reads the index, the VM list and all status objects. A status object that is not valid counts as missing.
Result<SystemState> readSystem(ObjectStore&);

// Milliseconds since 1970 by the system's clock.
std::int64_t unixTimeMs();

} // namespace anvilwalk
