#pragma once

#include <anvilwalk/version/ServiceConfig.h>

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <vector>

namespace anvilwalk {

// The objects that a configuration was read from, as JSON text, for peers that do not watch the object API.
struct ConfigSource {
    std::string indexJson;
    std::vector<std::string> revisionJson;
};

// All services of one configuration version. Immutable; shared between threads by pointer.
class ConfigSnapshot {
public:
    ConfigSnapshot(ConfigVersion, std::vector<ServiceConfig>, ConfigSource source = {});

    ConfigVersion version() const { return m_version; }
    const std::vector<ServiceConfig>& services() const { return m_services; }
    const ConfigSource& source() const { return m_source; }
    // The service behind an address; null if there is none.
    const ServiceConfig* findByAddress(const ServiceAddress&) const;
    const ServiceConfig* findById(ServiceId) const;

private:
    ConfigVersion m_version;
    std::vector<ServiceConfig> m_services;
    ConfigSource m_source;
    absl::flat_hash_map<ServiceAddress, std::size_t> m_byAddress;
    absl::flat_hash_map<ServiceId, std::size_t> m_byId;
};

using ConfigSnapshotPointer = std::shared_ptr<const ConfigSnapshot>;

} // namespace anvilwalk
