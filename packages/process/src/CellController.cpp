#include "CellControllerImplementation.h"

namespace anvilwalk {

CellController::CellController(const CellControllerOptions& options,
    std::shared_ptr<FlowTable> flows) // NOLINT(performance-unnecessary-value-param)
    : m_implementation(std::make_unique<Implementation>(options, flows))
{
}

CellController::~CellController() = default;

void CellController::handleHeartbeat(const peer::Heartbeat& heartbeat, MonotonicTime now)
{
    m_implementation->handleHeartbeat(heartbeat, now);
}

void CellController::handleTable(const table::TableSet& table, StoreVersion version, MonotonicTime now)
{
    m_implementation->handleTable(table, version, now);
}

void CellController::handleConfig(ConfigSnapshotPointer config, MonotonicTime now)
{
    m_implementation->handleConfig(std::move(config), now);
}

void CellController::handleVmList(const std::vector<VmEntry>& entries, MonotonicTime now)
{
    m_implementation->handleVmList(entries, now);
}

void CellController::handleTargetReport(const TargetReport& report, MonotonicTime now)
{
    m_implementation->monitor().handleReport(report, now);
}

void CellController::handleTargetObservation(const TargetObservation& observation, MonotonicTime now)
{
    m_implementation->monitor().handleObservation(observation, now);
}

void CellController::handleStoreReachable(bool reachable, MonotonicTime now)
{
    m_implementation->handleStoreReachable(reachable, now);
}

void CellController::handleLease(const WriterLease& lease, MonotonicTime now)
{
    m_implementation->writer().handleLease(lease, now);
}

void CellController::handleTableWritten(const Result<StoreVersion>& result, MonotonicTime now)
{
    m_implementation->handleTableWritten(result, now);
}

void CellController::handleLeaseWritten(const Result<StoreVersion>& result, MonotonicTime now)
{
    m_implementation->writer().handleLeaseWritten(result, now);
}

void CellController::handleRecordsFetched(
    const BalancerId& peer, const Result<peer::FetchRecordsResponse>& result, MonotonicTime now)
{
    m_implementation->handleRecordsFetched(peer, result, now);
}

void CellController::handleRecordsPushed(
    std::uint64_t ticket, const Result<peer::PushRecordsResponse>& result, MonotonicTime now)
{
    m_implementation->records().handlePushed(ticket, isOk(result), now);
}

void CellController::requestStop(MonotonicTime now) { m_implementation->requestStop(now); }

void CellController::tick(MonotonicTime now) { m_implementation->tick(now); }

peer::FetchStateResponse CellController::answerFetchState(const peer::FetchStateRequest& request) const
{
    return m_implementation->answerFetchState(request);
}

peer::FetchRecordsResponse CellController::answerFetchRecords(
    const peer::FetchRecordsRequest& request, MonotonicTime now) const
{
    return m_implementation->answerFetchRecords(request, now);
}

peer::PushRecordsResponse CellController::answerPushRecords(const peer::PushRecordsRequest& request, MonotonicTime now)
{
    return m_implementation->answerPushRecords(request, now);
}

std::vector<CellAction> CellController::takeActions() { return m_implementation->takeActions(); }

RoutingStatePointer CellController::routingState() const { return m_implementation->routingState(); }

MonotonicTime CellController::lastPeerContact() const { return m_implementation->lastPeerContact(); }

bool CellController::ready(MonotonicTime now) const { return m_implementation->ready(now); }

bool CellController::stopComplete(MonotonicTime now) const { return m_implementation->stopComplete(now); }

bool CellController::isTableWriter() const { return m_implementation->isTableWriter(); }

} // namespace anvilwalk
