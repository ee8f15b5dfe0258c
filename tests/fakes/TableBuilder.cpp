#include "TableBuilder.h"

#include <stdexcept>
#include <string>

namespace anvilwalk::fakes {

namespace {

    constexpr std::uint32_t tunnelNetwork = 0x0a010000;
    constexpr std::uint16_t tunnelPort = 5555;

    void addEntry(table::ServiceTable& service, TargetId id)
    {
        table::TargetEntry& entry = *service.add_targets();
        entry.set_id(id.value());
        entry.set_host("host-" + std::to_string(id.value()));
        entry.set_tunnel_address(tunnelOf(id).toString());
        entry.set_weight(1000);
    }

    table::SlotException* findException(table::ServiceTable& service, SlotIndex slot)
    {
        for (table::SlotException& exception : *service.mutable_exceptions()) {
            if (exception.slot() == slot.value())
                return &exception;
        }
        return nullptr;
    }

} // namespace

Ipv4Endpoint tunnelOf(TargetId id) { return { .address = { tunnelNetwork + id.value() }, .port = tunnelPort }; }

table::ServiceTable& TableBuilder::mutableService(ServiceId id)
{
    for (table::ServiceTable& service : *m_set.mutable_services()) {
        if (service.service() == id.value())
            return service;
    }
    throw std::invalid_argument("The table has no such service.");
}

const table::ServiceTable& TableBuilder::service(ServiceId id) const
{
    return const_cast<TableBuilder*>(this)->mutableService(id);
}

void TableBuilder::addService(ServiceId id, const std::vector<TargetId>& targets)
{
    table::ServiceTable& service = *m_set.add_services();
    service.set_service(id.value());
    for (const TargetId target : targets)
        addEntry(service, target);
    for (std::size_t slot = 0; slot < slotsPerService; ++slot)
        service.add_slots(targets[slot % targets.size()].value());
}

void TableBuilder::addTarget(ServiceId id, TargetId target) { addEntry(mutableService(id), target); }

void TableBuilder::setLeaving(ServiceId id, TargetId target)
{
    for (table::TargetEntry& entry : *mutableService(id).mutable_targets()) {
        if (entry.id() == target.value())
            entry.set_leaving(true);
    }
}

void TableBuilder::setWeight(ServiceId id, TargetId target, std::uint32_t weight)
{
    for (table::TargetEntry& entry : *mutableService(id).mutable_targets()) {
        if (entry.id() == target.value())
            entry.set_weight(weight);
    }
}

TargetId TableBuilder::target(ServiceId id, SlotIndex slot) const { return TargetId(service(id).slots(slot.value())); }

void TableBuilder::announce(ServiceId id, SlotIndex slot, TargetId target)
{
    table::ServiceTable& entry = mutableService(id);
    table::SlotException* exception = findException(entry, slot);
    if (!exception) {
        exception = entry.add_exceptions();
        exception->set_slot(slot.value());
        exception->add_candidates(entry.slots(slot.value()));
    }
    exception->add_candidates(target.value());
    exception->set_phase(table::SLOT_PHASE_ANNOUNCED);
    exception->set_announced_in(m_set.version() + 1);
    entry.set_slots(slot.value(), target.value());
}

void TableBuilder::startMoving(ServiceId id, SlotIndex slot)
{
    findException(mutableService(id), slot)->set_phase(table::SLOT_PHASE_MOVING);
}

void TableBuilder::keepNewest(ServiceId id, SlotIndex slot)
{
    auto& candidates = *findException(mutableService(id), slot)->mutable_candidates();
    candidates.erase(candidates.begin(), candidates.end() - 1);
}

void TableBuilder::makeStable(ServiceId id, SlotIndex slot)
{
    auto& exceptions = *mutableService(id).mutable_exceptions();
    for (int i = 0; i < exceptions.size(); ++i) {
        if (exceptions[i].slot() == slot.value()) {
            exceptions.DeleteSubrange(i, 1);
            return;
        }
    }
}

const table::SlotException* TableBuilder::exception(ServiceId id, SlotIndex slot) const
{
    return findException(const_cast<TableBuilder*>(this)->mutableService(id), slot);
}

TableSnapshotPointer TableBuilder::build()
{
    m_set.set_version(m_set.version() + 1);
    auto snapshot = TableSnapshot::fromMessage(m_set);
    if (!isOk(snapshot))
        throw std::logic_error(errorOf(snapshot).message);
    return valueOf(snapshot);
}

} // namespace anvilwalk::fakes
