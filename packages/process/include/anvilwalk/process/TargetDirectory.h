#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/process/TargetMonitor.h>
#include <anvilwalk/version.h>

#include <set>

namespace anvilwalk {

// Targets of this data centre from the VM list and the configuration.
class TargetDirectory {
public:
    explicit TargetDirectory(DataCentreId);

    void handleVmList(std::vector<VmEntry> entries);
    // Whether the VM list has been read or the configuration does not need it.
    bool complete(const ConfigSnapshot&) const;
    // Control endpoints of the entry VMs in the list.
    std::vector<Ipv4Endpoint> entryEndpoints() const;
    // Returns all targets, marked as doubted by the given set and weighted by the monitor.
    std::vector<KnownTarget> knownTargets(const ConfigSnapshot&, const TableSnapshotPointer&, const TargetMonitor&,
        const std::set<TargetId>& doubtedTargets) const;

private:
    DataCentreId m_dataCentre;
    std::vector<VmEntry> m_entries;
    bool m_listSeen = false;
};

} // namespace anvilwalk
