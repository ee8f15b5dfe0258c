#pragma once

#include <anvilwalk/process/CellController.h>
#include <anvilwalk/process/Membership.h>

#include <optional>

namespace anvilwalk {

// Holds the data centre's lease and writes its tables. The lease only saves work: each write is conditional on
// the object's version, so that of two writers one fails, reads again and starts over.
class TableWriter {
public:
    explicit TableWriter(const CellControllerOptions&);

    // A table with this object version was read from the object API.
    void handleStoreTable(StoreVersion);
    void handleLease(const WriterLease&, MonotonicTime now);
    void handleLeaseWritten(const Result<StoreVersion>&, MonotonicTime now);
    // Returns the table that the write has put in force, if it succeeded.
    std::optional<table::TableSet> handleTableWritten(const Result<StoreVersion>&, MonotonicTime now);

    // Takes or renews the lease while this balancer is eligible.
    void tickLease(bool eligible, const Membership&, MonotonicTime now, std::vector<CellAction>& actions);
    // A table may be written now: the lease is held, no write is under way and the store's version is known.
    bool mayWrite(MonotonicTime now) const;
    void write(table::TableSet, std::vector<CellAction>& actions);
    bool holdsLease(MonotonicTime now) const;
    // The lease has not changed for its duration, or none has been seen.
    bool leaseIsStale(MonotonicTime now) const;

private:
    bool leaseIsFree(const Membership&, MonotonicTime now) const;
    void requestRead(MonotonicTime now);

    CellControllerOptions m_options;
    std::optional<WriterLease> m_lease;
    MonotonicTime m_leaseChangedAt {};
    std::optional<WriterLease> m_pendingLease;
    MonotonicTime m_leaseSentAt {};
    // Time of the latest renewal that succeeded, taken when it was sent.
    std::optional<MonotonicTime> m_heldSince;
    MonotonicTime m_nextLeaseAttempt {};
    StoreVersion m_tableVersion;
    std::optional<table::TableSet> m_pendingTable;
    MonotonicTime m_nextWrite {};
    bool m_readDue = false;
};

} // namespace anvilwalk
