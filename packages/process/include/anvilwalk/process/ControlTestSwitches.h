#pragma once

namespace anvilwalk {

// Disables single mechanisms of the control plane, so that tests can show which failures they prevent. Set by tests
// only.
struct ControlTestSwitches {
    // Slots move before every live balancer has acknowledged the announcement.
    bool applyWithoutAck = false;
    // A new table is acknowledged before recent openings have been pushed to the slot owners.
    bool ackWithoutPush = false;
    // A joining balancer counts as settled without fetching records.
    bool settleWithoutFetch = false;
    // A joining balancer routes packets before every live peer knows it.
    bool routeBeforeAdmission = false;
    // Any heartbeat of a peer counts as contact, even if it acknowledges no recent heartbeat of this balancer.
    bool contactWithoutAck = false;
    // Only peers that this balancer hears directly count as live.
    bool directLivenessOnly = false;
    // Doubts take effect before every live balancer has acknowledged them.
    bool doubtWithoutAck = false;
    // Tables of a lower version are applied.
    bool acceptLowerVersions = false;
    // A new owner or backup gets no records from the previous one.
    bool skipRecordSync = false;
    // Moving slots become stable while records with older candidates exist.
    bool settleWithRecords = false;
    // Targets are removed even if more than half of a service's targets look unhealthy.
    bool removeAnyNumber = false;
    // The health endpoint of a target alone decides whether it is healthy.
    bool trustEndpoint = false;
};

} // namespace anvilwalk
