#pragma once

#include <anvilwalk/process/CellController.h>
#include <anvilwalk/process/TargetMonitor.h>
#include <anvilwalk/version.h>

#include <set>

namespace anvilwalk {

// The targets that the VM list and the configuration name for this data centre.
class TargetDirectory {
public:
    explicit TargetDirectory(DataCentreId);

    void handleVmList(std::vector<VmEntry> entries);
    // The sources that the configuration names have been read.
    bool complete(const ConfigSnapshot&) const;
    // Control endpoints of the entry VMs in the list.
    std::vector<Ipv4Endpoint> entryEndpoints() const;
    // Targets with the doubts of the given set and the weights of the monitor.
    std::vector<KnownTarget> knownTargets(const ConfigSnapshot&, const TableSnapshotPointer&, const TargetMonitor&,
        const std::set<TargetId>& suspects) const;

private:
    DataCentreId m_dataCentre;
    std::vector<VmEntry> m_entries;
    bool m_listSeen = false;
};

} // namespace anvilwalk
