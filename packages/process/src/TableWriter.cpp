#include <anvilwalk/process.h>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    constexpr auto renewInterval = 1000ms;
    // Time allowed for a read before the conditional write is retried. A retry is safe, because a write that took
    // effect has changed the version in the condition.
    constexpr auto readTimeout = 1000ms;
    constexpr auto retryDelay = 500ms;
    // Keeps the write rate during a burst of changes well below the platform's limit.
    constexpr auto writeSpacing = 100ms;

} // namespace

TableWriter::TableWriter(const ControlPlaneOptions& options)
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
        m_renewedAt.reset();
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
        // A watch may have reported this write, or a later one by another balancer, before the result arrived.
        if (!m_lease || written.version >= m_lease->version) {
            m_lease = written;
            m_leaseChangedAt = now;
            m_renewedAt = m_leaseSentAt;
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
    bool eligible, const Membership& membership, MonotonicTime now, std::vector<ControlAction>& actions)
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
    return m_renewedAt && now - *m_renewedAt <= m_options.leaseDuration;
}

bool TableWriter::leaseIsStale(MonotonicTime now) const
{
    return !m_lease || now - m_leaseChangedAt > m_options.leaseDuration;
}

bool TableWriter::mayWrite(MonotonicTime now) const { return holdsLease(now) && !m_pendingTable && now >= m_nextWrite; }

void TableWriter::write(table::TableSet table, std::vector<ControlAction>& actions)
{
    actions.emplace_back(WriteTable { .table = table, .expected = m_tableVersion });
    m_pendingTable = std::move(table);
}

} // namespace anvilwalk
