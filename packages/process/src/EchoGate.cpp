#include <anvilwalk/process.h>

namespace anvilwalk {

EchoGate::EchoGate(const CellControllerOptions& options)
    : m_options(options)
{
}

void EchoGate::handleTable(
    TableVersion version, const TableHistory::Change& change, RecordExchange& records, MonotonicTime now)
{
    std::uint64_t handIn = 0;
    if (!change.announced.empty() && !m_options.testSwitches.echoWithoutHandIn)
        handIn = records.pushOpenings(change.announced, now - m_options.openingRetryWindow, now);
    m_waiting.emplace_back(version, handIn);
}

TableVersion EchoGate::echoed(const RecordExchange& records)
{
    while (!m_waiting.empty() && records.isDone(m_waiting.front().second)) {
        m_echoed = m_waiting.front().first;
        m_waiting.pop_front();
    }
    return m_echoed;
}

} // namespace anvilwalk
