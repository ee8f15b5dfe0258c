#pragma once

#include <anvilwalk/process/RecordExchange.h>
#include <anvilwalk/process/TableHistory.h>

#include <deque>

namespace anvilwalk {

// Delays the acknowledgement of a table version until the recent openings of the slots that it announces have been
// pushed to their owners.
class TableAckGate {
public:
    explicit TableAckGate(const ControlPlaneOptions&);

    void handleTable(TableVersion, const TableHistory::Change&, RecordExchange&, MonotonicTime now);
    // Highest version that may be acknowledged.
    TableVersion acked(const RecordExchange&);

private:
    ControlPlaneOptions m_options;
    // Versions with the id of their push, 0 if there is none.
    std::deque<std::pair<TableVersion, std::uint64_t>> m_waiting;
    TableVersion m_acked;
};

} // namespace anvilwalk
