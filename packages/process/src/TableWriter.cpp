#include <anvilwalk/process.h>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    constexpr auto renewInterval = 1000ms;
    // Time for a read to answer before the conditional write is tried again. Trying again is safe, because a write
    // that took effect has changed the version that the condition names.
    constexpr auto readTimeout = 1000ms;
    constexpr auto retryDelay = 500ms;
    // Keeps the writes of a burst of changes well below the platform's rate.
    constexpr auto writeSpacing = 100ms;

} // namespace

TableWriter::TableWriter(const CellControllerOptions& options)
    : m_options(options)
{
}

void TableWriter::handleStoreTable(StoreVersion version) { m_tableVersion = std::max(m_tableVersion, version); }

void TableWriter::handleLease(const WriterLease& lease, MonotonicTime now)
{
    if (m_lease && lease.version <= m_lease->version)
        return;
    const bool changed = !m_lease || m_lease->holder != lease.holder || m_lease->renewals != lease.renewals;
    if (changed)
        m_leaseChangedAt = now;
    if (lease.holder != m_options.self)
        m_heldSince.reset();
    m_lease = lease;
}

void TableWriter::requestRead(MonotonicTime now)
{
    m_readDue = true;
    m_nextWrite = now + readTimeout;
}

void TableWriter::handleLeaseWritten(const Result<StoreVersion>& result, MonotonicTime now)
{
    if (!m_pendingLease)
        return;
    WriterLease written = *std::exchange(m_pendingLease, std::nullopt);
    if (isOk(result)) {
        written.version = valueOf(result);
        // A watch may have shown this write, or a later one by another balancer, before its own answer came.
        if (!m_lease || written.version >= m_lease->version) {
            m_lease = written;
            m_leaseChangedAt = now;
            m_heldSince = m_leaseSentAt;
        }
        return;
    }
    m_nextLeaseAttempt = now + retryDelay;
    if (errorOf(result).code != ErrorCode::Unavailable)
        m_readDue = true;
}

std::optional<table::TableSet> TableWriter::handleTableWritten(const Result<StoreVersion>& result, MonotonicTime now)
{
    if (!m_pendingTable)
        return std::nullopt;
    table::TableSet written = *std::exchange(m_pendingTable, std::nullopt);
    if (isOk(result)) {
        m_tableVersion = std::max(m_tableVersion, valueOf(result));
        m_nextWrite = now + writeSpacing;
        return written;
    }
    if (errorOf(result).code == ErrorCode::Unavailable)
        m_nextWrite = now + retryDelay;
    else
        requestRead(now);
    return std::nullopt;
}

bool TableWriter::leaseIsFree(const Membership& membership, MonotonicTime now) const
{
    if (leaseIsStale(now) || m_lease->holder == m_options.self)
        return true;
    const Member* holder = membership.find(m_lease->holder);
    return holder && holder->state == peer::MEMBER_STATE_LEAVING;
}

void TableWriter::tickLease(
    bool eligible, const Membership& membership, MonotonicTime now, std::vector<CellAction>& actions)
{
    if (std::exchange(m_readDue, false))
        actions.emplace_back(ReadTable {});
    if (!eligible || m_pendingLease || now < m_nextLeaseAttempt || !leaseIsFree(membership, now))
        return;
    m_nextLeaseAttempt = now + renewInterval;
    m_leaseSentAt = now;
    m_pendingLease = WriterLease {
        .holder = m_options.self, .renewals = m_lease ? m_lease->renewals + 1 : 1, .version = StoreVersion()
    };
    actions.emplace_back(
        WriteLease { .lease = *m_pendingLease, .expected = m_lease ? m_lease->version : StoreVersion() });
}

bool TableWriter::holdsLease(MonotonicTime now) const
{
    return m_heldSince && now - *m_heldSince <= m_options.leaseDuration;
}

bool TableWriter::leaseIsStale(MonotonicTime now) const
{
    return !m_lease || now - m_leaseChangedAt > m_options.leaseDuration;
}

bool TableWriter::mayWrite(MonotonicTime now) const { return holdsLease(now) && !m_pendingTable && now >= m_nextWrite; }

void TableWriter::write(table::TableSet table, std::vector<CellAction>& actions)
{
    actions.emplace_back(WriteTable { .table = table, .expected = m_tableVersion });
    m_pendingTable = std::move(table);
}

} // namespace anvilwalk
