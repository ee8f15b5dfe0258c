#include "FleetModel.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace anvilwalk::fakes {

using namespace std::chrono_literals;

FleetModel::FleetModel(const FleetModelOptions& options)
    : targets(options.targets)
    , m_options(options)
    , m_random(options.seed)
{
    Route urgent { .name = "urgent", .address = boardAddress, .services = { { .service = boardService } } };
    urgent.kind = RouteKind::Download;
    urgent.priority = 1;
    Route other = urgent;
    other.name = "other";
    other.address = photoAddress;
    other.priority = 2;
    const auto routes = std::make_shared<const RouteTable>(ConfigVersion(2), std::vector { urgent, other }, 15s);
    for (std::uint32_t number = 0; number < options.balancers; ++number) {
        Balancer& balancer = *balancers.emplace_back(std::make_unique<Balancer>(options.seed * 1000 + number));
        for (std::uint32_t target = 0; target < options.targets; ++target) {
            TargetRecord record = targetRecord(target);
            record.slots = slots;
            balancer.put(record);
            m_indexes[tokenOfTarget(target)] = target;
        }
        if (options.admits)
            balancer.router.setAdmission(&balancer.admission);
        balancer.router.setRoutes(routes);
    }
    schedule(Duration::zero(), [this] { report(); });
}

double FleetModel::capacity() const
{
    double speed = 0;
    for (const ModelTarget& target : targets)
        speed += target.speed;
    return speed * slots / 0.037;
}

void FleetModel::run(Duration time, double flowsPerSecond, double urgentShare)
{
    const MonotonicTime end = now + time;
    m_flowsPerSecond = flowsPerSecond;
    m_urgentShare = urgentShare;
    scheduleArrival(++m_run);
    while (m_events.top().at < end) {
        const Event event = m_events.top();
        m_events.pop();
        now = event.at;
        event.run();
    }
    now = end;
}

void FleetModel::resetStatistics()
{
    waits.clear();
    calls = {};
    for (ModelTarget& target : targets)
        target.flows = 0;
}

double FleetModel::busiestToMean() const
{
    std::uint64_t sum = 0;
    std::uint64_t most = 0;
    for (const ModelTarget& target : targets) {
        sum += target.flows;
        most = std::max(most, target.flows);
    }
    return static_cast<double>(most * targets.size()) / static_cast<double>(sum);
}

double FleetModel::waitMs(double quantile)
{
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? 0 : waits[static_cast<std::size_t>(quantile * static_cast<double>(waits.size() - 1))];
}

double FleetModel::meanAdmitted() const
{
    double sum = 0;
    for (const auto& balancer : balancers)
        sum += balancer->admission.admittedPriorities(boardService);
    return sum / static_cast<double>(balancers.size());
}

void FleetModel::schedule(Duration delay, std::function<void()> run)
{
    m_events.push({ .at = now + delay, .order = ++m_order, .run = std::move(run) });
}

void FleetModel::scheduleArrival(std::uint64_t run)
{
    const std::chrono::duration<double> delay(std::exponential_distribution<double>(m_flowsPerSecond)(m_random));
    schedule(std::chrono::duration_cast<Duration>(delay), [this, run] {
        if (run != m_run)
            return;
        open(std::bernoulli_distribution(m_urgentShare)(m_random));
        scheduleArrival(run);
    });
}

void FleetModel::open(bool urgent)
{
    Balancer& balancer = *balancers[m_random(static_cast<std::uint32_t>(balancers.size()))];
    Calls& counts = calls[urgent ? 0 : 1];
    ++counts.offered;
    const FlowKey key = flowKey(++m_flows, urgent ? boardAddress : photoAddress);
    const Decision decision = balancer.router.route(PacketView({}, { .key = key, .kind = PacketKind::Opening }), now);
    const auto* forward = std::get_if<ForwardToTarget>(&decision);
    if (forward == nullptr) {
        ++counts.refused;
        return;
    }
    const FlowToken token = forward->token;
    ModelTarget& target = targets[m_indexes.at(token)];
    ++target.flows;
    balancer.router.route(
        PacketView({}, { .key = key, .token = token, .acknowledgement = 1, .payloadBytes = 100 }), now);
    request(target, counts, [&balancer, key, token, this] {
        balancer.router.route(
            PacketView({}, { .key = key, .kind = PacketKind::Closing, .token = token, .acknowledgement = 500 }), now);
    });
}

void FleetModel::request(ModelTarget& target, Calls& counts, const std::function<void()>& respond)
{
    const MonotonicTime arrival = now;
    if (target.busy >= slots && target.queue.size() >= queueSize) {
        ++counts.rejected;
        schedule(target.lastResponse, [&target, respond] { answer(target, target.lastResponse, respond); });
        return;
    }
    std::function<void()> work = [this, &target, &counts, respond, arrival] {
        waits.push_back(std::chrono::duration<double, std::milli>(now - arrival).count());
        ++target.busy;
        const double ms = std::uniform_real_distribution<double>(30, 44)(m_random) / target.speed;
        schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)),
            [this, &target, &counts, respond, arrival] {
                ++counts.served;
                target.lastResponse = now - arrival;
                answer(target, target.lastResponse, respond);
                --target.busy;
                if (target.queue.empty())
                    return;
                const auto next = std::move(target.queue.front());
                target.queue.pop_front();
                next();
            });
    };
    if (target.busy < slots)
        work();
    else
        target.queue.push_back(std::move(work));
}

void FleetModel::answer(ModelTarget& target, Duration time, const std::function<void()>& respond)
{
    target.meanResponse += target.meanResponse == Duration::zero() ? time : (time - target.meanResponse) / 64;
    respond();
}

void FleetModel::report()
{
    std::vector<SharedTargetLoad> sums(targets.size());
    std::vector<std::vector<SharedTargetLoad>> others(balancers.size(), sums);
    for (std::size_t balancer = 0; balancer < balancers.size(); ++balancer) {
        balancers[balancer]->flows.expire(now);
        for (std::uint32_t index = 0; index < targets.size(); ++index) {
            const TargetActivity& activity = balancers[balancer]->targets.find(tokenOfTarget(index))->activity;
            SharedTargetLoad& own = others[balancer][index];
            own.openFlows = activity.openFlows;
            own.requestsInProgress = activity.requestsInProgress + activity.pendingOpenings;
            sums[index].openFlows += own.openFlows;
            sums[index].requestsInProgress += own.requestsInProgress;
        }
    }
    for (auto& seen : others) {
        for (std::size_t index = 0; index < targets.size(); ++index) {
            seen[index] = { .openFlows = sums[index].openFlows - seen[index].openFlows,
                .requestsInProgress = sums[index].requestsInProgress - seen[index].requestsInProgress,
                .responseTime = targets[index].meanResponse };
        }
    }
    if (m_options.sharesLoad)
        schedule(m_options.summaryDelay, [this, others, at = now] { apply(others, at); });
    if (onReport)
        onReport();
    schedule(1s, [this] { report(); });
}

void FleetModel::apply(const std::vector<std::vector<SharedTargetLoad>>& others, MonotonicTime takenAt)
{
    for (std::size_t balancer = 0; balancer < balancers.size(); ++balancer) {
        TargetCatalogue& catalogue = balancers[balancer]->targets;
        for (std::uint32_t index = 0; index < targets.size(); ++index)
            catalogue.find(tokenOfTarget(index))->shared = others[balancer][index];
        catalogue.setSharedLoad({ .fresh = true, .balancers = m_options.balancers, .takenAt = takenAt });
    }
}

} // namespace anvilwalk::fakes
