#include "SlotMover.h"

#include <algorithm>
#include <map>

namespace anvilwalk::bench {

namespace {

    struct Load {
        double share = 0;
        double slots = 0;
        bool leaving = false;
    };

    std::map<TargetId, Load> loadsOf(const table::ServiceTable& service)
    {
        std::map<TargetId, Load> loads;
        double weights = 0;
        for (const table::TargetEntry& target : service.targets()) {
            if (!target.leaving())
                weights += target.weight();
        }
        for (const table::TargetEntry& target : service.targets()) {
            Load& load = loads[TargetId(target.id())];
            load.leaving = target.leaving();
            load.share = target.leaving() ? 0 : slotsPerService * target.weight() / weights;
        }
        for (const std::uint32_t target : service.slots())
            ++loads[TargetId(target)].slots;
        return loads;
    }

    std::map<TargetId, Load>::iterator mostBelowShare(std::map<TargetId, Load>& loads)
    {
        return std::min_element(loads.begin(), loads.end(), [](const auto& a, const auto& b) {
            return a.second.slots - a.second.share < b.second.slots - b.second.share;
        });
    }

} // namespace

std::size_t SlotMover::announceNext(fakes::TableBuilder& table, ServiceId id) const
{
    std::map<TargetId, Load> loads = loadsOf(table.service(id));
    std::size_t urgent = 0;
    std::size_t planned = 0;
    for (std::uint16_t i = 0; i < slotsPerService; ++i) {
        const SlotIndex slot(i);
        Load& from = loads[table.target(id, slot)];
        const auto to = mostBelowShare(loads);
        const bool surplus = from.slots - from.share >= 1 && to->second.share - to->second.slots > 0.5;
        if (!from.leaving && (!surplus || planned == m_slotsPerStep))
            continue;
        const table::SlotException* exception = table.exception(id, slot);
        if (exception && static_cast<std::size_t>(exception->candidates_size()) == maxSlotCandidates)
            continue;
        ++(from.leaving ? urgent : planned);
        --from.slots;
        ++to->second.slots;
        table.announce(id, slot, to->first);
    }
    return urgent + planned;
}

void SlotMover::startMoving(fakes::TableBuilder& table, ServiceId id)
{
    for (std::uint16_t slot = 0; slot < slotsPerService; ++slot) {
        const table::SlotException* exception = table.exception(id, SlotIndex(slot));
        if (exception && exception->phase() == table::SLOT_PHASE_ANNOUNCED)
            table.startMoving(id, SlotIndex(slot));
    }
}

} // namespace anvilwalk::bench
