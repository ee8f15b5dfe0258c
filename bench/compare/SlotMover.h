#pragma once

#include <anvilwalk/version.h>
#include <fakes/TableBuilder.h>

namespace anvilwalk::bench {

// Plans the slot changes of the comparison: moves slots from leaving and overfull targets to those below their
// share. It stands in for the table planner of the product.
class SlotMover {
public:
    // A change that is not urgent moves at most this many slots at a time, which bounds the control traffic.
    explicit SlotMover(std::size_t slotsPerStep)
        : m_slotsPerStep(slotsPerStep)
    {
    }

    // Announces the next changes of the service. Returns the number of slots announced.
    std::size_t announceNext(fakes::TableBuilder&, ServiceId) const;
    // Starts moving all announced slots of the service.
    static void startMoving(fakes::TableBuilder&, ServiceId);

private:
    std::size_t m_slotsPerStep;
};

} // namespace anvilwalk::bench
