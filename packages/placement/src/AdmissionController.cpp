#include <anvilwalk/placement/AdmissionController.h>
#include <anvilwalk/placement/FlowTracker.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace anvilwalk {

namespace {

    bool acceptsFlows(const Target& target)
    {
        return target.presence == TargetPresence::Listed && target.record.state == TargetState::Ready
            && !target.evacuated && !target.tokenCollides && target.activity.suspicionLevel < suspicionThreshold;
    }

} // namespace

double AdmissionRange::shareAt(double load) const { return std::clamp((end - load) / (end - begin), 0.0, 1.0); }

AdmissionController::AdmissionController(const AdmissionOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
}

void AdmissionController::setRoutes(const RouteTable& routes)
{
    absl::flat_hash_map<ServiceName, ServiceState> services;
    if (routes.sharesLoad() && routes.hasPriorities()) {
        for (const Route& route : routes.routes()) {
            for (const WeightedService& choice : route.services)
                services[choice.service].priorities.push_back(route.priority);
        }
    }
    for (auto& [name, state] : services) {
        std::sort(state.priorities.begin(), state.priorities.end());
        state.priorities.erase(std::unique(state.priorities.begin(), state.priorities.end()), state.priorities.end());
        // A new configuration does not end an overload.
        const auto known = m_services.find(name);
        if (known == m_services.end())
            continue;
        state.load = known->second.load;
        state.updatedAt = known->second.updatedAt;
    }
    absl::erase_if(services, [](const auto& entry) { return entry.second.priorities.size() < 2; });
    m_services = std::move(services);
}

bool AdmissionController::admit(const Route& route, const ServiceName& service, const std::vector<Target*>& targets,
    const SharedLoadStatus& sharedLoad, MonotonicTime now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return true;
    ServiceState& state = found->second;
    if (!sharedLoad.fresh) {
        state.load = 0;
        state.updatedAt = now;
        return true;
    }
    const double elapsed
        = std::chrono::duration<double>(now - std::exchange(state.updatedAt, now)) / m_options.averagingTime;
    const double load = currentLoad(targets, sharedLoad);
    state.load = load + (state.load - load) * std::exp(-elapsed);
    const double share = shareOf(state, route);
    if (share >= 1 || std::uniform_real_distribution<double>()(m_random) < share)
        return true;
    ++m_refused;
    return false;
}

double AdmissionController::shareOf(const ServiceState& state, const Route& route) const
{
    const auto rank = std::lower_bound(state.priorities.begin(), state.priorities.end(), route.priority);
    const auto moreUrgent = static_cast<double>(rank - state.priorities.begin());
    return std::clamp(admittedOf(state) - moreUrgent, 0.0, 1.0);
}

double AdmissionController::admittedShare(const Route& route, const ServiceName& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 1 : shareOf(found->second, route);
}

double AdmissionController::currentLoad(const std::vector<Target*>& targets, const SharedLoadStatus& sharedLoad) const
{
    double busy = 0;
    double slots = 0;
    for (const Target* target : targets) {
        if (target->record.dataCentre != m_options.dataCentre || !acceptsFlows(*target))
            continue;
        busy += target->activity.requestsInProgress + target->activity.pendingOpenings;
        slots += std::max<std::uint32_t>(target->record.slots, 1);
    }
    return slots == 0 ? 0 : busy * sharedLoad.balancers / slots;
}

double AdmissionController::admittedOf(const ServiceState& state) const
{
    const auto lessUrgent = static_cast<double>(state.priorities.size() - 1);
    return 1 + lessUrgent * m_options.lessUrgent.shareAt(state.load);
}

double AdmissionController::admittedPriorities(const ServiceName& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : admittedOf(found->second);
}

} // namespace anvilwalk
