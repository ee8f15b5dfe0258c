#include <anvilwalk/placement/AdmissionController.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace anvilwalk {

namespace {

    // Requests in progress per slot of the targets that have any.
    double loadOf(const std::vector<Target*>& targets)
    {
        double requests = 0;
        double slots = 0;
        for (const Target* target : targets) {
            const std::uint32_t inProgress = target->activity.requestsInProgress + target->shared.requestsInProgress;
            if (inProgress == 0)
                continue;
            requests += inProgress;
            slots += target->record.slots;
        }
        return slots > 0 ? requests / slots : 0;
    }

} // namespace

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
                services[choice.service].priorities.push_back(route.priority);
        }
    }
    for (auto& [name, state] : services) {
        std::sort(state.priorities.begin(), state.priorities.end());
        state.priorities.erase(std::unique(state.priorities.begin(), state.priorities.end()), state.priorities.end());
        state.admitted = static_cast<double>(state.priorities.size());
        // A new configuration does not end an overload.
        const auto known = m_services.find(name);
        if (known != m_services.end() && known->second.priorities == state.priorities)
            state = known->second;
    }
    absl::erase_if(services, [](const auto& entry) { return entry.second.priorities.size() < 2; });
    m_services = std::move(services);
}

void AdmissionController::onResponse(const ServiceName& service, Duration time)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        found->second.responses.add(time);
}

bool AdmissionController::admit(const Route& route, const ServiceName& service, const std::vector<Target*>& targets,
    const SharedLoadStatus& sharedLoad, MonotonicTime now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return true;
    ServiceState& state = found->second;
    if (now - state.updatedAt >= m_options.updateInterval)
        update(state, targets, sharedLoad, now);
    const auto rank = std::lower_bound(state.priorities.begin(), state.priorities.end(), route.priority);
    const auto moreUrgent = static_cast<double>(rank - state.priorities.begin());
    const double share = std::clamp(state.admitted - moreUrgent, 0.0, 1.0);
    if (share >= 1 || std::uniform_real_distribution<double>()(m_random) < share)
        return true;
    ++m_refused;
    return false;
}

void AdmissionController::update(ServiceState& state, const std::vector<Target*>& targets,
    const SharedLoadStatus& sharedLoad, MonotonicTime now) const
{
    const auto all = static_cast<double>(state.priorities.size());
    const Duration elapsed = now - std::exchange(state.updatedAt, now);
    if (std::exchange(state.responses.added, 0) > 0)
        state.respondedAt = now;
    if (now - state.respondedAt >= m_options.maxSilence)
        state.responses.count = 0;
    if (state.responses.count < ResponseWindow::size) {
        state.admitted = all;
        return;
    }
    const double excess = excessOf(state, targets, sharedLoad, elapsed);
    if (excess > 0) {
        const double decrease = std::min(excess * m_options.decreaseGain, m_options.maxDecrease);
        state.admitted = std::max(state.admitted - decrease, m_options.minAdmitted);
        return;
    }
    const double intervals = std::chrono::duration<double>(elapsed) / m_options.updateInterval;
    state.admitted = std::min(state.admitted + m_options.increase * intervals, all);
}

double AdmissionController::excessOf(ServiceState& state, const std::vector<Target*>& targets,
    const SharedLoadStatus& sharedLoad, Duration elapsed) const
{
    const Duration median = state.responses.median();
    if (state.usual == Duration::zero())
        state.usual = median;
    const auto timeConstant = median > state.usual ? m_options.usualRiseTime : m_options.usualFallTime;
    const double weight = 1 - std::exp(-std::chrono::duration<double>(elapsed) / timeConstant);
    state.usual += std::chrono::duration_cast<Duration>((median - state.usual) * weight);
    if (!sharedLoad.fresh || loadOf(targets) < m_options.minLoad)
        return 0;
    return std::chrono::duration<double>(median) / state.usual / m_options.maxSlowdown - 1;
}

double AdmissionController::admittedPriorities(const ServiceName& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.admitted;
}

} // namespace anvilwalk
