#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/process/Membership.h>

#include <optional>

namespace anvilwalk {

// Holds the data centre's lease and writes its tables. The lease only avoids duplicate work: each write is conditional
// on the object's version, so that one of two concurrent writers fails, reads again and retries.
class TableWriter {
public:
    explicit TableWriter(const ControlPlaneOptions&);

    // A table with this object version was read from the object API.
    void handleStoreTable(StoreVersion);
    void handleLease(const WriterLease&, MonotonicTime now);
    void handleLeaseWritten(const Result<StoreVersion>&, MonotonicTime now);
    // Returns the written table if the write succeeded.
    std::optional<table::TableSet> handleTableWritten(const Result<StoreVersion>&, MonotonicTime now);

    // Acquires or renews the lease while this balancer is eligible.
    void tickLease(bool eligible, const Membership&, MonotonicTime now, std::vector<ControlAction>& actions);
    // Whether a table may be written now: the lease is held, no write is pending and no retry delay is running.
    bool mayWrite(MonotonicTime now) const;
    void write(table::TableSet, std::vector<ControlAction>& actions);
    bool holdsLease(MonotonicTime now) const;
    // Whether the lease has not changed for its duration, or none has been read.
    bool leaseIsStale(MonotonicTime now) const;

private:
    bool leaseIsFree(const Membership&, MonotonicTime now) const;
    void requestRead(MonotonicTime now);

    ControlPlaneOptions m_options;
    std::optional<WriterLease> m_lease;
    MonotonicTime m_leaseChangedAt {};
    std::optional<WriterLease> m_pendingLease;
    MonotonicTime m_leaseSentAt {};
    // Send time of the latest successful renewal.
    std::optional<MonotonicTime> m_renewedAt;
    MonotonicTime m_nextLeaseAttempt {};
    StoreVersion m_tableVersion;
    std::optional<table::TableSet> m_pendingTable;
    MonotonicTime m_nextWrite {};
    bool m_readDue = false;
};

} // namespace anvilwalk
