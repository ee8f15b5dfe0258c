#include <anvilwalk/placement/RouteTable.h>

#include <utility>

namespace anvilwalk {

RouteTable::RouteTable(ConfigVersion version, std::vector<Route> routes, std::chrono::milliseconds idleTimeout,
    std::vector<WarmUpLimit> warmUpLimits)
    : m_version(version)
    , m_idleTimeout(idleTimeout)
    , m_routes(std::move(routes))
    , m_warmUpLimits(std::move(warmUpLimits))
{
    m_byAddress.reserve(m_routes.size());
    for (std::size_t index = 0; index < m_routes.size(); ++index)
        m_byAddress.emplace(m_routes[index].address, index);
    for (const Route& route : m_routes) {
        m_sharesLoad = m_sharesLoad || route.kind == RouteKind::Download;
        m_hasPriorities = m_hasPriorities || route.priority != m_routes.front().priority;
    }
}

const Route* RouteTable::find(const ServiceAddress& address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? nullptr : &m_routes[found->second];
}

} // namespace anvilwalk
