#include <anvilwalk/version.h>

#include <optional>

namespace anvilwalk {

namespace {

    Error invalid(const table::ServiceTable& service, const std::string& what)
    {
        return { ErrorCode::InvalidArgument,
            "Slot table of service " + std::to_string(service.service()) + ": " + what };
    }

    std::optional<Error> readTargets(const table::ServiceTable& message, ServiceSlots& result)
    {
        for (const table::TargetEntry& entry : message.targets()) {
            const auto tunnel = Ipv4Endpoint::parse(entry.tunnel_address());
            if (!tunnel)
                return invalid(message, "target " + entry.host() + " has a bad tunnel address.");
            const TargetId id(entry.id());
            if (id == TargetId())
                return invalid(message, "target " + entry.host() + " has no id.");
            result.targets.emplace(id,
                TableTarget { .id = id,
                    .host = entry.host(),
                    .tunnel = *tunnel,
                    .healthUrl = entry.health_url(),
                    .leaving = entry.leaving(),
                    .weight = entry.weight() });
        }
        return std::nullopt;
    }

    std::optional<Error> readSlots(const table::ServiceTable& message, ServiceSlots& result)
    {
        if (message.slots_size() != slotsPerService && message.slots_size() != 0)
            return invalid(message, std::to_string(message.slots_size()) + " slots in place of 1021.");
        for (const std::uint32_t target : message.slots()) {
            if (!result.targets.contains(TargetId(target)))
                return invalid(message, "a slot names an unknown target.");
            result.slots.emplace_back(target);
        }
        return std::nullopt;
    }

    std::optional<Error> readExceptions(const table::ServiceTable& message, ServiceSlots& result)
    {
        for (const table::SlotException& entry : message.exceptions()) {
            if (entry.slot() >= result.slots.size())
                return invalid(message, "an exception names an unknown slot.");
            const int fewest = entry.phase() == table::SLOT_PHASE_MOVING ? 1 : 2;
            if (entry.candidates_size() < fewest)
                return invalid(message, "an exception has too few candidates.");
            SlotException exception {
                .phase = entry.phase() == table::SLOT_PHASE_MOVING ? SlotPhase::Moving : SlotPhase::Announced,
                .candidates = {},
                .announcedIn = TableVersion(entry.announced_in()),
            };
            for (const std::uint32_t candidate : entry.candidates()) {
                if (!result.targets.contains(TargetId(candidate)))
                    return invalid(message, "an exception names an unknown target.");
                exception.candidates.emplace_back(candidate);
            }
            result.exceptions.emplace(SlotIndex(static_cast<std::uint16_t>(entry.slot())), std::move(exception));
        }
        return std::nullopt;
    }

} // namespace

const SlotException* ServiceSlots::findException(SlotIndex slot) const
{
    const auto found = exceptions.find(slot);
    return found == exceptions.end() ? nullptr : &found->second;
}

const TableTarget* ServiceSlots::findTarget(TargetId id) const
{
    const auto found = targets.find(id);
    return found == targets.end() ? nullptr : &found->second;
}

Result<std::shared_ptr<const TableSnapshot>> TableSnapshot::fromMessage(const table::TableSet& message)
{
    std::shared_ptr<TableSnapshot> snapshot(new TableSnapshot);
    snapshot->m_version = TableVersion(message.version());
    for (const table::ServiceTable& service : message.services()) {
        ServiceSlots slots;
        if (auto error = readTargets(service, slots))
            return *error;
        if (auto error = readSlots(service, slots))
            return *error;
        if (auto error = readExceptions(service, slots))
            return *error;
        snapshot->m_services.emplace(ServiceId(service.service()), std::move(slots));
    }
    snapshot->m_message = message;
    return std::shared_ptr<const TableSnapshot>(std::move(snapshot));
}

const ServiceSlots* TableSnapshot::findService(ServiceId id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace anvilwalk
