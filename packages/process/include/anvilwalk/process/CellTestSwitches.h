#pragma once

namespace anvilwalk {

// Switches off single mechanisms of the control decisions, so that tests can show what breaks without them.
// Only tests set them.
struct CellTestSwitches {
    // Slots move without the echo of every live balancer.
    bool applyWithoutEcho = false;
    // A new table is echoed before recent openings are handed in.
    bool echoWithoutHandIn = false;
    // A joining balancer counts as settled without fetching records.
    bool settleWithoutFetch = false;
    // A joining balancer routes packets before every live peer knows it.
    bool routeBeforeAdmission = false;
    // Any heartbeat of a peer counts as contact, whether or not it echoes a recent heartbeat of this balancer.
    bool contactWithoutEcho = false;
    // Only peers that this balancer hears itself count as live.
    bool directLivenessOnly = false;
    // Doubts take effect before every live balancer has echoed them.
    bool doubtWithoutEcho = false;
    // Tables of a lower version are applied.
    bool acceptLowerVersions = false;
    // A new owner or backup gets no records from the previous ones.
    bool skipRecordSync = false;
    // Moving slots become stable while records of older candidates exist.
    bool settleWithRecords = false;
    // Targets are removed even if more than half of a service's targets look bad.
    bool removeAnyNumber = false;
    // The endpoint of a target alone decides about its health.
    bool trustEndpoint = false;
};

} // namespace anvilwalk
