#include <anvilwalk/version.h>

namespace anvilwalk {

ConfigSnapshot::ConfigSnapshot(ConfigVersion version, std::vector<ServiceConfig> services, ConfigSource source)
    : m_version(version)
    , m_services(std::move(services))
    , m_source(std::move(source))
{
    for (std::size_t index = 0; index < m_services.size(); ++index) {
        m_byId.emplace(m_services[index].id, index);
        for (const ServiceAddress& address : m_services[index].addresses)
            m_byAddress.emplace(address, index);
    }
}

const ServiceConfig* ConfigSnapshot::findByAddress(const ServiceAddress& address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? nullptr : &m_services[found->second];
}

const ServiceConfig* ConfigSnapshot::findById(ServiceId id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : &m_services[found->second];
}

} // namespace anvilwalk
