#pragma once

#include <anvilwalk/version.h>

#include <cstdint>
#include <vector>

namespace anvilwalk::fakes {

// Builds table versions step by step. Slots are spread over the targets in turn.
class TableBuilder {
public:
    void addService(ServiceId, const std::vector<TargetId>& targets);
    void addTarget(ServiceId, TargetId);
    void setLeaving(ServiceId, TargetId);
    void setWeight(ServiceId, TargetId, std::uint32_t weight);
    TargetId target(ServiceId, SlotIndex) const;
    // Appends a candidate to the slot and announces it.
    void announce(ServiceId, SlotIndex, TargetId);
    void startMoving(ServiceId, SlotIndex);
    // Leaves the newest candidate only, which is the step before the slot becomes stable.
    void keepNewest(ServiceId, SlotIndex);
    void makeStable(ServiceId, SlotIndex);
    const table::SlotException* exception(ServiceId, SlotIndex) const;
    const table::ServiceTable& service(ServiceId) const;

    // Each build raises the version by one.
    TableSnapshotPointer build();
    TableVersion version() const { return TableVersion(m_set.version()); }

private:
    table::ServiceTable& mutableService(ServiceId);

    table::TableSet m_set;
};

// The tunnel endpoint that the builder gives a target.
Ipv4Endpoint tunnelOf(TargetId);

} // namespace anvilwalk::fakes
