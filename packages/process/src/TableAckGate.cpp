#include <anvilwalk/process.h>

namespace anvilwalk {

TableAckGate::TableAckGate(const ControlPlaneOptions& options)
    : m_options(options)
{
}

void TableAckGate::handleTable(
    TableVersion version, const TableHistory::Change& change, RecordExchange& records, MonotonicTime now)
{
    std::uint64_t push = 0;
    if (!change.announced.empty() && !m_options.testSwitches.ackWithoutPush)
        push = records.pushOpenings(change.announced, now - m_options.openingRetryWindow, now);
    m_waiting.emplace_back(version, push);
}

TableVersion TableAckGate::acked(const RecordExchange& records)
{
    while (!m_waiting.empty() && records.isDone(m_waiting.front().second)) {
        m_acked = m_waiting.front().first;
        m_waiting.pop_front();
    }
    return m_acked;
}

} // namespace anvilwalk
