#pragma once

namespace anvilwalk {

// Exit codes of the anvilwalk command; documented in its help and in docs/OPERATIONS.md.
enum class ExitCode {
    Success = 0,
    // The service files have errors, or the publish would violate a rule.
    Rejected = 1,
    Usage = 2,
    // Another publish modified the same services first.
    Conflict = 3,
    // Nothing was applied, and the publish cannot take effect later.
    NotApplied = 4,
    // The outcome is not known: the publish may be in force or may still take effect.
    Unknown = 5,
    // Applied, and since replaced by another publish.
    Overtaken = 6,
    // Accepted, but not reported in force by every balancer before the timeout.
    NotYetInForce = 7,
    // The output has missing or outdated parts, there was nothing to print, or the connection would be refused.
    Incomplete = 8,
    // The store, or the balancer that was asked, gave no usable answer.
    StoreUnavailable = 9,
};

inline int toInt(ExitCode code) { return static_cast<int>(code); }

} // namespace anvilwalk
