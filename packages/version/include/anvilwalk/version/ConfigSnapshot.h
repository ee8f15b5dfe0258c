#pragma once

#include <anvilwalk/version/ServiceConfig.h>

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <vector>

namespace anvilwalk {

// All services of one configuration version. Immutable; shared between threads by pointer.
class ConfigSnapshot {
public:
    ConfigSnapshot(ConfigVersion, std::vector<ServiceConfig>);

    ConfigVersion version() const { return m_version; }
    const std::vector<ServiceConfig>& services() const { return m_services; }
    // The service behind an address; null if there is none.
    const ServiceConfig* findByAddress(const ServiceAddress&) const;
    const ServiceConfig* findById(ServiceId) const;

private:
    ConfigVersion m_version;
    std::vector<ServiceConfig> m_services;
    absl::flat_hash_map<ServiceAddress, std::size_t> m_byAddress;
    absl::flat_hash_map<ServiceId, std::size_t> m_byId;
};

using ConfigSnapshotPointer = std::shared_ptr<const ConfigSnapshot>;

} // namespace anvilwalk
