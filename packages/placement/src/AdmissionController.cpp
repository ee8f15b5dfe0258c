#include <anvilwalk/placement/AdmissionController.h>

#include <algorithm>
#include <random>
#include <utility>

namespace anvilwalk {

void AdmissionController::ResponseWindow::add(Duration time)
{
    times[count % size] = time;
    ++count;
    ++added;
}

Duration AdmissionController::ResponseWindow::median() const
{
    std::array<Duration, size> sorted = times;
    std::nth_element(sorted.begin(), sorted.begin() + size / 2, sorted.end());
    return sorted[size / 2];
}

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
                addRoute(services[choice.service], route);
        }
    }
    absl::erase_if(services, [](const auto& entry) {
        return entry.second.priorities.size() < 2 || entry.second.latencyTarget == std::chrono::milliseconds::zero();
    });
    for (auto& [name, state] : services) {
        state.admitted = static_cast<double>(state.priorities.size());
        // A new configuration does not end an overload.
        const auto known = m_services.find(name);
        if (known != m_services.end() && known->second.priorities == state.priorities) {
            const auto latencyTarget = state.latencyTarget;
            state = known->second;
            state.latencyTarget = latencyTarget;
        }
    }
    m_services = std::move(services);
}

void AdmissionController::addRoute(ServiceState& state, const Route& route)
{
    auto& priorities = state.priorities;
    const bool mostUrgent = priorities.empty() || route.priority < priorities.front();
    const bool sharesMostUrgent = !priorities.empty() && route.priority == priorities.front();
    if (mostUrgent)
        state.latencyTarget = route.latencyTarget;
    else if (sharesMostUrgent)
        state.latencyTarget = std::min(state.latencyTarget, route.latencyTarget);
    const auto at = std::lower_bound(priorities.begin(), priorities.end(), route.priority);
    if (at == priorities.end() || *at != route.priority)
        priorities.insert(at, route.priority);
}

void AdmissionController::onResponse(const ServiceName& service, Duration time)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        found->second.responses.add(time);
}

bool AdmissionController::admit(const Route& route, const ServiceName& service, MonotonicTime now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return true;
    ServiceState& state = found->second;
    if (now - state.updatedAt >= m_options.updateInterval)
        update(state, now);
    const double share = shareOf(state, route);
    if (share >= 1 || std::uniform_real_distribution<double>()(m_random) < share)
        return true;
    ++m_refused;
    return false;
}

double AdmissionController::shareOf(const ServiceState& state, const Route& route)
{
    const auto rank = std::lower_bound(state.priorities.begin(), state.priorities.end(), route.priority);
    const auto moreUrgent = static_cast<double>(rank - state.priorities.begin());
    return std::clamp(state.admitted - moreUrgent, 0.0, 1.0);
}

double AdmissionController::admittedShare(const Route& route, const ServiceName& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 1 : shareOf(found->second, route);
}

void AdmissionController::update(ServiceState& state, MonotonicTime now) const
{
    const auto all = static_cast<double>(state.priorities.size());
    const Duration elapsed = now - std::exchange(state.updatedAt, now);
    if (std::exchange(state.responses.added, 0) > 0)
        state.respondedAt = now;
    if (state.responses.count < ResponseWindow::size || now - state.respondedAt >= m_options.maxSilence) {
        state.responses.count = 0;
        state.admitted = all;
        return;
    }
    const Duration limit
        = std::chrono::duration_cast<Duration>(Duration(state.latencyTarget) * m_options.maxMedianShare);
    const double excess = std::chrono::duration<double>(state.responses.median() - limit) / limit;
    if (excess > 0) {
        const double decrease = std::min(excess * m_options.decreaseGain, m_options.maxDecrease);
        state.admitted = std::max(state.admitted - decrease, m_options.minAdmitted);
        return;
    }
    const double intervals = std::chrono::duration<double>(elapsed) / m_options.updateInterval;
    state.admitted = std::min(state.admitted + m_options.increase * intervals, all);
}

double AdmissionController::admittedPriorities(const ServiceName& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.admitted;
}

} // namespace anvilwalk
