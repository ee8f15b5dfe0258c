#include "ControlPlaneImplementation.h"

namespace anvilwalk {

ControlPlane::ControlPlane(const ControlPlaneOptions& options,
    std::shared_ptr<FlowTable> flows) // NOLINT(performance-unnecessary-value-param)
    : m_implementation(std::make_unique<Implementation>(options, flows))
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::handleHeartbeat(const peer::Heartbeat& heartbeat, MonotonicTime now)
{
    m_implementation->handleHeartbeat(heartbeat, now);
}

void ControlPlane::handleTable(const table::TableSet& table, StoreVersion version, MonotonicTime now)
{
    m_implementation->handleTable(table, version, now);
}

void ControlPlane::handleConfig(ConfigSnapshotPointer config, MonotonicTime now)
{
    m_implementation->handleConfig(std::move(config), now);
}

void ControlPlane::handleVmList(const std::vector<VmEntry>& entries, MonotonicTime now)
{
    m_implementation->handleVmList(entries, now);
}

void ControlPlane::handleTargetReport(const TargetReport& report, MonotonicTime now)
{
    m_implementation->monitor().handleReport(report, now);
}

void ControlPlane::handleTargetObservation(const TargetObservation& observation, MonotonicTime now)
{
    m_implementation->monitor().handleObservation(observation, now);
}

void ControlPlane::handleStoreReachable(bool reachable, MonotonicTime now)
{
    m_implementation->handleStoreReachable(reachable, now);
}

void ControlPlane::handleLease(const WriterLease& lease, MonotonicTime now)
{
    m_implementation->writer().handleLease(lease, now);
}

void ControlPlane::handleTableWritten(const Result<StoreVersion>& result, MonotonicTime now)
{
    m_implementation->handleTableWritten(result, now);
}

void ControlPlane::handleLeaseWritten(const Result<StoreVersion>& result, MonotonicTime now)
{
    m_implementation->writer().handleLeaseWritten(result, now);
}

void ControlPlane::handleRecordsFetched(
    const BalancerId& peer, const Result<peer::FetchRecordsResponse>& result, MonotonicTime now)
{
    m_implementation->handleRecordsFetched(peer, result, now);
}

void ControlPlane::handleRecordsPushed(
    std::uint64_t ticket, const Result<peer::PushRecordsResponse>& result, MonotonicTime now)
{
    m_implementation->records().handlePushed(ticket, isOk(result), now);
}

void ControlPlane::requestStop(MonotonicTime now) { m_implementation->requestStop(now); }

void ControlPlane::tick(MonotonicTime now) { m_implementation->tick(now); }

peer::FetchStateResponse ControlPlane::answerFetchState(const peer::FetchStateRequest& request) const
{
    return m_implementation->answerFetchState(request);
}

peer::FetchRecordsResponse ControlPlane::answerFetchRecords(
    const peer::FetchRecordsRequest& request, MonotonicTime now) const
{
    return m_implementation->answerFetchRecords(request, now);
}

peer::PushRecordsResponse ControlPlane::answerPushRecords(const peer::PushRecordsRequest& request, MonotonicTime now)
{
    return m_implementation->answerPushRecords(request, now);
}

std::vector<ControlAction> ControlPlane::takeActions() { return m_implementation->takeActions(); }

RoutingStatePointer ControlPlane::routingState() const { return m_implementation->routingState(); }

MonotonicTime ControlPlane::lastPeerContact() const { return m_implementation->lastPeerContact(); }

bool ControlPlane::ready(MonotonicTime now) const { return m_implementation->ready(now); }

bool ControlPlane::stopComplete(MonotonicTime now) const { return m_implementation->stopComplete(now); }

bool ControlPlane::isTableWriter() const { return m_implementation->isTableWriter(); }

} // namespace anvilwalk
