#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    const TableTarget* findInTable(const TableSnapshotPointer& table, const KnownTarget& known)
    {
        const ServiceSlots* slots = table ? table->findService(known.service) : nullptr;
        if (!slots)
            return nullptr;
        const auto found = std::find_if(slots->targets.begin(), slots->targets.end(),
            [&](const auto& entry) { return entry.second.host == known.host && entry.second.tunnel == known.tunnel; });
        return found == slots->targets.end() ? nullptr : &found->second;
    }

} // namespace

TargetDirectory::TargetDirectory(DataCentreId dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

void TargetDirectory::handleVmList(std::vector<VmEntry> entries)
{
    m_entries = std::move(entries);
    m_listSeen = true;
}

bool TargetDirectory::complete(const ConfigSnapshot& config) const
{
    return m_listSeen
        || std::none_of(config.services().begin(), config.services().end(),
            [](const ServiceConfig& service) { return service.targetsFromVmList; });
}

std::vector<Ipv4Endpoint> TargetDirectory::entryEndpoints() const
{
    std::vector<Ipv4Endpoint> endpoints;
    for (const VmEntry& entry : m_entries) {
        if (entry.role == VmEntry::Role::Entry && entry.controlEndpoint.port != 0)
            endpoints.push_back(entry.controlEndpoint);
    }
    return endpoints;
}

std::vector<KnownTarget> TargetDirectory::knownTargets(const ConfigSnapshot& config, const TableSnapshotPointer& table,
    const TargetMonitor& monitor, const std::set<TargetId>& doubtedTargets) const
{
    std::vector<KnownTarget> targets;
    for (const ServiceConfig& service : config.services()) {
        for (const VmEntry& entry : m_entries) {
            if (!service.targetsFromVmList || entry.role != VmEntry::Role::Target || entry.service != service.name)
                continue;
            targets.push_back({ .service = service.id,
                .host = entry.name,
                .tunnel = entry.tunnel,
                .healthUrl = entry.healthUrl,
                .leaving = entry.leaving });
        }
        for (const ConfiguredTarget& target : service.targets) {
            if (target.dataCentre != m_dataCentre)
                continue;
            targets.push_back({ .service = service.id,
                .host = target.host,
                .tunnel = target.tunnel,
                .healthUrl = target.healthUrl,
                .weight = target.weight });
        }
    }
    const std::set<TargetId> suspected = monitor.suspected();
    for (KnownTarget& target : targets) {
        const TableTarget* entry = findInTable(table, target);
        if (!entry)
            continue;
        // A target's own report that it drains may be wrong, so it counts as a doubt with the same limits.
        target.doubted = doubtedTargets.contains(entry->id) || monitor.isDraining(entry->id);
        target.suspected = suspected.contains(entry->id);
        target.weight = target.weight * monitor.wantedShare(entry->id) / 1000;
    }
    return targets;
}

} // namespace anvilwalk
