#pragma once

#include <anvilwalk/process.h>

namespace anvilwalk {

// State of the running system as stored in the object API.
struct SystemState {
    ConfigIndex index;
    ReportInput reportInput;
};

// Reads the configuration index, the VM list and all status objects. A missing index reads as an empty one. Invalid VM
// objects are ignored; an invalid status object counts as missing. Returns the error of the first call that fails.
Result<SystemState> readSystemState(ObjectStore&);

// Milliseconds since the Unix epoch, from the system clock.
std::int64_t unixTimeMs();

} // namespace anvilwalk
