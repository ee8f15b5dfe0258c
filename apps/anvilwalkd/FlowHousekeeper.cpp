#include "FlowHousekeeper.h"

namespace anvilwalk {

namespace {

    constexpr std::chrono::seconds interval { 2 };
    // For records of a service that the configuration does not name any more.
    constexpr std::chrono::minutes unknownServiceIdleDeadline { 5 };

} // namespace

FlowHousekeeper::FlowHousekeeper(std::shared_ptr<FlowTable> flows, SlotRouter& router, const Clock& clock,
    std::function<RoutingStatePointer()> routingState)
    : m_flows(std::move(flows))
    , m_router(router)
    , m_clock(clock)
    , m_routingState(std::move(routingState))
    , m_thread([this] { run(); })
{
}

FlowHousekeeper::~FlowHousekeeper()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void FlowHousekeeper::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_changed.wait_for(lock, interval, [this] { return m_stopped; })) {
        lock.unlock();
        expireRecords();
        m_router.countOpenFlows();
        lock.lock();
    }
}

void FlowHousekeeper::expireRecords()
{
    const RoutingStatePointer state = m_routingState();
    m_flows->expire(m_clock.now(), [&](ServiceId id) -> std::chrono::milliseconds {
        const ServiceConfig* service = state && state->config ? state->config->findById(id) : nullptr;
        return service == nullptr ? unknownServiceIdleDeadline : service->idleDeadline;
    });
}

} // namespace anvilwalk
