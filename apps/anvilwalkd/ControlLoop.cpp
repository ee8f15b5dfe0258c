#include "ControlLoop.h"

#include <algorithm>
#include <type_traits>

namespace anvilwalk {

namespace {

    // A balancer that was silent for this long is not asked for its status any more.
    constexpr std::chrono::seconds forgetBalancerAfter { 30 };

} // namespace

ControlLoop::ControlLoop(const ControlLoopOptions& options, std::shared_ptr<FlowTable> flows, RelayRouter& router,
    PeerTransport& transport, std::shared_ptr<ObjectStore> store, const Clock& clock)
    : m_options(options)
    , m_router(router)
    , m_transport(transport)
    , m_store(std::move(store))
    , m_clock(clock)
    , m_controller(options.controller, std::move(flows))
{
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::start(std::function<void(bool)> setWatching)
{
    m_setWatching = std::move(setWatching);
    m_thread = std::thread([this] { run(); });
}

void ControlLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

// Applies an event under the lock. The new state is in force at the router before the lock is released and before
// any action, so that no peer hears of a version that packets do not follow yet.
template <class Event> auto ControlLoop::withController(Event event)
{
    std::unique_lock lock(m_mutex);
    const MonotonicTime now = m_clock.now();
    using Value = decltype(event(m_controller, now));
    const auto finish = [&] {
        publishState();
        std::vector<ControlAction> actions = m_controller.takeActions();
        std::move(actions.begin(), actions.end(), std::back_inserter(m_actions));
        const bool hasWork = !m_actions.empty();
        lock.unlock();
        if (hasWork)
            m_changed.notify_one();
    };
    if constexpr (std::is_void_v<Value>) {
        event(m_controller, now);
        finish();
    } else {
        Value value = event(m_controller, now);
        finish();
        return value;
    }
}

void ControlLoop::publishState()
{
    RoutingStatePointer state = m_controller.routingState();
    if (state != m_published) {
        m_published = state;
        m_router.setState(std::move(state));
    }
    const MonotonicTime contact = m_controller.lastPeerContact();
    if (contact == m_publishedContact)
        return;
    m_publishedContact = contact;
    m_router.updatePeerContact(contact);
}

void ControlLoop::run()
{
    std::unique_lock lock(m_mutex);
    MonotonicTime nextTick = m_clock.now();
    while (!m_stopped) {
        const MonotonicTime now = m_clock.now();
        if (now >= nextTick) {
            lock.unlock();
            m_pauses.noteRunning(now);
            withController([](ControlPlane& controller, MonotonicTime at) { controller.tick(at); });
            lock.lock();
            nextTick = now + m_options.tickInterval;
            continue;
        }
        if (m_actions.empty()) {
            m_changed.wait_for(lock, nextTick - now);
            continue;
        }
        const ControlAction action = std::move(m_actions.front());
        m_actions.pop_front();
        lock.unlock();
        std::visit([this](const auto& one) { carryOut(one); }, action);
        lock.lock();
    }
}

void ControlLoop::handleHeartbeat(const peer::Heartbeat& heartbeat)
{
    withController([&](ControlPlane& controller, MonotonicTime now) {
        noteBalancer(heartbeat, now);
        controller.handleHeartbeat(heartbeat, now);
    });
}

void ControlLoop::noteBalancer(const peer::Heartbeat& heartbeat, MonotonicTime now)
{
    const BalancerId id(heartbeat.sender());
    if (heartbeat.state() == peer::MEMBER_STATE_LEAVING) {
        m_heard.erase(id);
        return;
    }
    if (heartbeat.data_centre() != m_options.controller.dataCentre.value())
        return;
    if (const auto endpoint = Ipv4Endpoint::parse(heartbeat.control_address()))
        m_heard[id] = { .controlEndpoint = *endpoint, .heard = now };
    std::erase_if(m_heard, [&](const auto& entry) { return now - entry.second.heard > forgetBalancerAfter; });
}

void ControlLoop::handleTable(const table::TableSet& table, StoreVersion version)
{
    withController([&](ControlPlane& controller, MonotonicTime now) { controller.handleTable(table, version, now); });
}

void ControlLoop::handleConfig(ConfigSnapshotPointer config)
{
    withController([&](ControlPlane& controller, MonotonicTime now) { controller.handleConfig(config, now); });
}

void ControlLoop::handleVmList(const std::vector<VmEntry>& list)
{
    withController([&](ControlPlane& controller, MonotonicTime now) {
        m_entryVms.clear();
        std::copy_if(list.begin(), list.end(), std::back_inserter(m_entryVms),
            [](const VmEntry& entry) { return entry.role == VmEntry::Role::Entry && !entry.leaving; });
        controller.handleVmList(list, now);
    });
}

void ControlLoop::handleTargetReport(const TargetReport& report)
{
    withController([&](ControlPlane& controller, MonotonicTime now) { controller.handleTargetReport(report, now); });
}

void ControlLoop::handleTargetObservation(const TargetObservation& observation)
{
    withController(
        [&](ControlPlane& controller, MonotonicTime now) { controller.handleTargetObservation(observation, now); });
}

void ControlLoop::handleStoreReachable(bool reachable)
{
    withController(
        [&](ControlPlane& controller, MonotonicTime now) { controller.handleStoreReachable(reachable, now); });
}

void ControlLoop::handleLease(const WriterLease& lease)
{
    withController([&](ControlPlane& controller, MonotonicTime now) { controller.handleLease(lease, now); });
}

void ControlLoop::requestStop()
{
    withController([](ControlPlane& controller, MonotonicTime now) { controller.requestStop(now); });
}

peer::FetchStateResponse ControlLoop::answerFetchState(const peer::FetchStateRequest& request)
{
    return withController(
        [&](ControlPlane& controller, MonotonicTime) { return controller.answerFetchState(request); });
}

peer::FetchRecordsResponse ControlLoop::answerFetchRecords(const peer::FetchRecordsRequest& request)
{
    return withController(
        [&](ControlPlane& controller, MonotonicTime now) { return controller.answerFetchRecords(request, now); });
}

peer::PushRecordsResponse ControlLoop::answerPushRecords(const peer::PushRecordsRequest& request)
{
    return withController(
        [&](ControlPlane& controller, MonotonicTime now) { return controller.answerPushRecords(request, now); });
}

RoutingStatePointer ControlLoop::routingState() const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.routingState();
}

bool ControlLoop::ready() const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.ready(m_clock.now());
}

bool ControlLoop::stopComplete() const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.stopComplete(m_clock.now());
}

bool ControlLoop::isTableWriter() const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.isTableWriter();
}

std::vector<KnownBalancer> ControlLoop::knownBalancers() const
{
    const std::lock_guard lock(m_mutex);
    std::map<BalancerId, Ipv4Endpoint> known;
    for (const VmEntry& entry : m_entryVms)
        known[entry.balancer] = entry.controlEndpoint;
    for (const auto& [id, heard] : m_heard)
        known[id] = heard.controlEndpoint;
    known.erase(m_options.controller.self);
    std::vector<KnownBalancer> result;
    result.reserve(known.size());
    for (const auto& [id, endpoint] : known)
        result.push_back({ .id = id, .controlEndpoint = endpoint });
    return result;
}

void ControlLoop::carryOut(const SendHeartbeat& action)
{
    for (const Ipv4Endpoint& endpoint : action.controlEndpoints)
        m_transport.sendHeartbeat(endpoint, action.heartbeat);
}

void ControlLoop::carryOut(const FetchStateFrom& action)
{
    m_transport.fetchState(action.controlEndpoint, action.request, [this](const auto& result) {
        if (isOk(result))
            adoptState(valueOf(result));
        else
            log(LogComponent::Peer, LogLevel::Debug, "State was not fetched: " + errorOf(result).message);
    });
}

void ControlLoop::adoptState(const peer::FetchStateResponse& response)
{
    if (!response.index_json().empty()) {
        const std::vector<std::string> revisions(response.revision_json().begin(), response.revision_json().end());
        const auto config = makeConfigSnapshot(response.index_json(), revisions);
        if (isOk(config))
            handleConfig(valueOf(config));
        else
            logWarn(LogComponent::Config, "A peer's configuration was refused: " + errorOf(config).message);
    }
    if (response.has_table())
        handleTable(response.table(), StoreVersion());
}

void ControlLoop::carryOut(const FetchRecordsFrom& action)
{
    m_transport.fetchRecords(action.controlEndpoint, action.request, [this, peer = action.peer](const auto& result) {
        withController(
            [&](ControlPlane& controller, MonotonicTime now) { controller.handleRecordsFetched(peer, result, now); });
    });
}

void ControlLoop::carryOut(const PushRecordsTo& action)
{
    m_transport.pushRecords(action.controlEndpoint, action.request, [this, ticket = action.ticket](const auto& result) {
        withController(
            [&](ControlPlane& controller, MonotonicTime now) { controller.handleRecordsPushed(ticket, result, now); });
    });
}

Result<StoreVersion> ControlLoop::writeObject(
    const std::string& kind, const nlohmann::json& spec, StoreVersion expected)
{
    const std::string& name = m_options.controller.dataCentre.value();
    const auto result
        = expected == StoreVersion() ? m_store->create(kind, name, spec) : m_store->update(kind, name, spec, expected);
    if (!isOk(result))
        return errorOf(result);
    return valueOf(result).version;
}

void ControlLoop::carryOut(const WriteTable& action)
{
    m_storeThread.post([this, action] {
        const auto result = writeObject(objectkind::slotTable, encodeTable(action.table), action.expected);
        if (!isOk(result))
            logWarn(LogComponent::Table, "Table was not written: " + errorOf(result).message);
        withController(
            [&](ControlPlane& controller, MonotonicTime now) { controller.handleTableWritten(result, now); });
    });
}

void ControlLoop::carryOut(const WriteLease& action)
{
    m_storeThread.post([this, action] {
        const auto result = writeObject(objectkind::lease, encodeLease(action.lease), action.expected);
        withController(
            [&](ControlPlane& controller, MonotonicTime now) { controller.handleLeaseWritten(result, now); });
    });
}

void ControlLoop::carryOut(const SetWatching& action) { m_setWatching(action.watch); }

void ControlLoop::carryOut(const ReadTable&)
{
    m_storeThread.post([this] {
        const std::string& name = m_options.controller.dataCentre.value();
        const auto table = m_store->get(objectkind::slotTable, name);
        if (isOk(table)) {
            const auto decoded = decodeTable(valueOf(table).spec);
            if (isOk(decoded))
                handleTable(valueOf(decoded), valueOf(table).version);
        }
        const auto lease = m_store->get(objectkind::lease, name);
        if (!isOk(lease))
            return;
        const auto decoded = decodeLease(valueOf(lease));
        if (isOk(decoded))
            handleLease(valueOf(decoded));
    });
}

} // namespace anvilwalk
