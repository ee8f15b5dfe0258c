#pragma once

#include <anvilwalk/process/RecordExchange.h>
#include <anvilwalk/process/TableHistory.h>

#include <deque>

namespace anvilwalk {

// Holds back the echo of a table version until the recent openings of the slots it announces are handed in.
class EchoGate {
public:
    explicit EchoGate(const CellControllerOptions&);

    void handleTable(TableVersion, const TableHistory::Change&, RecordExchange&, MonotonicTime now);
    // Highest version that may be echoed.
    TableVersion echoed(const RecordExchange&);

private:
    CellControllerOptions m_options;
    // Versions with their hand-in, 0 if there is none.
    std::deque<std::pair<TableVersion, std::uint64_t>> m_waiting;
    TableVersion m_echoed;
};

} // namespace anvilwalk
