#include <anvilwalk/process/RouterCounters.h>

namespace anvilwalk {

namespace {

    std::size_t threadNumber()
    {
        static std::atomic<std::size_t> next { 0 };
        thread_local const std::size_t number = next.fetch_add(1, std::memory_order_relaxed);
        return number;
    }

    void increment(std::atomic<std::uint64_t>& counter) { counter.fetch_add(1, std::memory_order_relaxed); }

} // namespace

ServiceCounters::ServiceCounters(ServiceId service)
    : m_service(service)
{
}

ServiceCounters::Stripe& ServiceCounters::ownStripe() { return m_stripes[threadNumber() % stripes]; }

void ServiceCounters::addPacket() { increment(ownStripe().packets); }
void ServiceCounters::addRefused() { increment(ownStripe().refused); }
void ServiceCounters::addDropped() { increment(ownStripe().dropped); }
void ServiceCounters::addRelayed() { increment(ownStripe().relayed); }

void ServiceCounters::addOpening(TargetId target)
{
    increment(m_openFlows);
    const std::lock_guard lock(m_mutex);
    ++m_openingsByTarget[target];
}

void ServiceCounters::setOpenFlows(absl::flat_hash_map<TargetId, std::uint64_t> byTarget)
{
    std::uint64_t total = 0;
    for (const auto& [target, count] : byTarget)
        total += count;
    m_openFlows.store(total, std::memory_order_relaxed);
    const std::lock_guard lock(m_mutex);
    m_openFlowsByTarget = std::move(byTarget);
}

ServiceCounts ServiceCounters::snapshot() const
{
    ServiceCounts counts;
    counts.service = m_service;
    for (const Stripe& stripe : m_stripes) {
        counts.packets += stripe.packets.load(std::memory_order_relaxed);
        counts.refused += stripe.refused.load(std::memory_order_relaxed);
        counts.dropped += stripe.dropped.load(std::memory_order_relaxed);
        counts.relayed += stripe.relayed.load(std::memory_order_relaxed);
    }
    counts.openFlows = openFlows();
    const std::lock_guard lock(m_mutex);
    counts.openingsByTarget = m_openingsByTarget;
    counts.openFlowsByTarget = m_openFlowsByTarget;
    for (const auto& [target, count] : m_openingsByTarget)
        counts.openings += count;
    return counts;
}

std::shared_ptr<ServiceCounters> RouterCounters::forService(ServiceId service)
{
    const std::lock_guard lock(m_mutex);
    auto& counters = m_services[service];
    if (!counters)
        counters = std::make_shared<ServiceCounters>(service);
    return counters;
}

void RouterCounters::addDrop(DropReason reason)
{
    if (static_cast<std::size_t>(reason) < dropReasonCount)
        increment(m_drops[static_cast<std::size_t>(reason)]);
}

RouterCountsSnapshot RouterCounters::snapshot() const
{
    RouterCountsSnapshot result;
    for (std::size_t reason = 0; reason < dropReasonCount; ++reason)
        result.drops[reason] = m_drops[reason].load(std::memory_order_relaxed);
    const std::lock_guard lock(m_mutex);
    for (const auto& [service, counters] : m_services)
        result.services.push_back(counters->snapshot());
    return result;
}

} // namespace anvilwalk
