#pragma once

namespace anvilwalk {

// Exit codes of the anvilwalk command; documented in its help and in docs/OPERATIONS.md.
enum class ExitCode {
    Success = 0,
    // Service files have faults, or the publish would break a rule.
    Rejected = 1,
    Usage = 2,
    // Another publish changed the same services first.
    Conflict = 3,
    // Nothing was put in force and nothing can be later.
    NotApplied = 4,
    // The publish may be in force or may still take effect.
    Unknown = 5,
    // Applied, and changed again by another publish.
    Overtaken = 6,
    // Accepted, but not seen in force on every balancer in time.
    NotYetInForce = 7,
    // Printed, but parts are missing or old; or nothing was found to print.
    Incomplete = 8,
    StoreUnavailable = 9,
};

inline int toInt(ExitCode code) { return static_cast<int>(code); }

} // namespace anvilwalk
