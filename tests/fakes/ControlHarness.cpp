#include <fakes/ControlHarness.h>

#include <algorithm>

namespace anvilwalk::fakes {

namespace {

    using namespace std::chrono_literals;

    constexpr auto stepTime = 10ms;
    constexpr auto tickInterval = 50ms;
    constexpr auto reportInterval = 500ms;
    constexpr auto watchCheckInterval = 500ms;
    // Base of the addresses; the number of the balancer is added.
    constexpr std::uint32_t addressBase = 0x7f000100;

    std::uint32_t numberOf(const std::string& name) { return static_cast<std::uint32_t>(hashText(name) % 60000 + 1); }

    Ipv4Endpoint endpointOf(const std::string& name, std::uint16_t port)
    {
        return { .address = { addressBase + numberOf(name) }, .port = port };
    }

    constexpr std::uint16_t packetPort = 6001;
    constexpr std::uint16_t relayPort = 6002;
    constexpr std::uint16_t controlPort = 6003;

} // namespace

ControlHarness::ControlHarness(std::uint64_t seed)
    : m_random(seed)
{
    defaults.dataCentre = DataCentreId("lima-a");
}

ControlHarness::~ControlHarness() = default;

FakeBalancer& ControlHarness::start(const std::string& name)
{
    auto balancer = std::make_unique<FakeBalancer>();
    balancer->options = defaults;
    balancer->options.self = BalancerId(name);
    balancer->options.incarnation = Incarnation(m_nextIncarnation += 100'000);
    balancer->options.packetEndpoint = endpointOf(name, packetPort);
    balancer->options.relayEndpoint = endpointOf(name, relayPort);
    balancer->options.controlEndpoint = endpointOf(name, controlPort);
    for (const auto& [other, entry] : m_balancers) {
        if (other != name && entry->alive)
            balancer->options.seeds.push_back(entry->options.controlEndpoint);
    }
    balancer->flows = std::make_shared<FlowTable>(FlowTableOptions { .capacity = 4096, .shards = 4 });
    balancer->controlPlane = std::make_unique<ControlPlane>(balancer->options, balancer->flows);
    auto& entry = m_balancers[name];
    if (entry)
        m_replaced.push_back(std::move(entry));
    entry = std::move(balancer);
    FakeBalancer& started = *entry;
    // Balancers tick at different phases.
    schedule(std::chrono::milliseconds(random(50)), [this, &started] { tick(started); });
    return started;
}

void ControlHarness::kill(const std::string& name) { balancer(name).alive = false; }

void ControlHarness::pause(const std::string& name) { balancer(name).paused = true; }

void ControlHarness::resume(const std::string& name)
{
    FakeBalancer& target = balancer(name);
    target.paused = false;
    for (auto& event : std::exchange(target.delayed, {}))
        schedule(Duration(0), std::move(event));
}

void ControlHarness::cutOff(const std::string& name)
{
    for (const auto& [other, entry] : m_balancers) {
        if (other != name)
            cut(name, other);
    }
    balancer(name).cutFromStore = true;
}

void ControlHarness::healAll()
{
    m_cuts.clear();
    for (const auto& [name, entry] : m_balancers)
        entry->cutFromStore = false;
}

void ControlHarness::schedule(Duration delay, std::function<void()> run)
{
    m_events.push({ .at = m_now + delay, .order = m_nextOrder++, .run = std::move(run) });
}

void ControlHarness::deliver(FakeBalancer& to, Duration delay, std::function<void(ControlPlane&)> event)
{
    schedule(delay, [&to, event = std::move(event)] {
        if (!to.alive)
            return;
        if (to.paused) {
            to.delayed.push_back([&to, event] { event(*to.controlPlane); });
            return;
        }
        event(*to.controlPlane);
    });
}

Duration ControlHarness::latency() { return std::chrono::microseconds(300 + random(4000)); }

Duration ControlHarness::storeLatency()
{
    const auto spread = static_cast<std::uint64_t>((store.behaviour.maxLatency - store.behaviour.minLatency).count());
    return store.behaviour.minLatency + std::chrono::milliseconds(random(spread + 1));
}

bool ControlHarness::connected(const std::string& a, const std::string& b) const
{
    return !m_cuts.contains(std::minmax(a, b));
}

FakeBalancer* ControlHarness::find(const BalancerId& id)
{
    const auto found = m_balancers.find(id.value());
    return found == m_balancers.end() ? nullptr : found->second.get();
}

FakeBalancer* ControlHarness::find(const Ipv4Endpoint& controlEndpoint)
{
    for (const auto& [name, entry] : m_balancers) {
        if (entry->options.controlEndpoint == controlEndpoint)
            return entry.get();
    }
    return nullptr;
}

void ControlHarness::run(std::chrono::milliseconds time)
{
    runUntil([] { return false; }, time);
}

bool ControlHarness::runUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const MonotonicTime end = m_now + limit;
    while (m_now < end) {
        if (condition())
            return true;
        step();
    }
    return condition();
}

void ControlHarness::step()
{
    const MonotonicTime target = m_now + stepTime;
    while (!m_events.empty() && m_events.top().at <= target) {
        Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.run();
    }
    m_now = target;
    if (m_now >= m_nextWatchCheck)
        retryWatches();
    if (m_now >= m_nextReports) {
        m_nextReports = m_now + reportInterval;
        for (const auto& [name, entry] : m_balancers) {
            for (const auto& [id, report] : m_reports)
                deliver(*entry, latency(),
                    [this, report = report](ControlPlane& c) { c.handleTargetReport(report, m_now); });
        }
    }
    for (const auto& [name, entry] : m_balancers) {
        const RoutingStatePointer state = entry->controlPlane->routingState();
        if (!entry->alive || !state->table)
            continue;
        entry->tableRegressed = entry->tableRegressed || state->table->version() < entry->highestTable;
        entry->highestTable = std::max(entry->highestTable, state->table->version());
    }
    if (afterStep)
        afterStep();
}

void ControlHarness::tick(FakeBalancer& balancer)
{
    if (!balancer.alive)
        return;
    if (!balancer.paused) {
        balancer.controlPlane->tick(m_now);
        for (const ControlAction& action : balancer.controlPlane->takeActions())
            perform(balancer, action);
    }
    schedule(tickInterval, [this, &balancer] { tick(balancer); });
}

void ControlHarness::perform(FakeBalancer& from, const ControlAction& action)
{
    if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action))
        return performHeartbeat(from, *heartbeat);
    if (const auto* fetch = std::get_if<FetchStateFrom>(&action))
        return performFetchState(from, *fetch);
    if (const auto* fetch = std::get_if<FetchRecordsFrom>(&action))
        return performFetchRecords(from, *fetch);
    if (const auto* push = std::get_if<PushRecordsTo>(&action))
        return performPush(from, *push);
    if (const auto* write = std::get_if<WriteTable>(&action))
        return performWriteTable(from, *write);
    if (const auto* write = std::get_if<WriteLease>(&action))
        return performWriteLease(from, *write);
    if (const auto* watching = std::get_if<SetWatching>(&action))
        from.watching = watching->watch;
    readStore(from);
}

void ControlHarness::performHeartbeat(FakeBalancer& from, const SendHeartbeat& send)
{
    for (const Ipv4Endpoint& endpoint : send.controlEndpoints) {
        FakeBalancer* to = find(endpoint);
        if (!to || !connected(from.options.self.value(), to->options.self.value()))
            continue;
        from.heartbeatBytes += send.heartbeat.ByteSizeLong();
        ++from.heartbeats;
        from.largestHeartbeat = std::max<std::uint64_t>(from.largestHeartbeat, send.heartbeat.ByteSizeLong());
        deliver(*to, latency(),
            [this, heartbeat = send.heartbeat](ControlPlane& c) { c.handleHeartbeat(heartbeat, m_now); });
    }
}

void ControlHarness::performFetchState(FakeBalancer& from, const FetchStateFrom& fetch)
{
    FakeBalancer* to = find(fetch.peer);
    if (!to || !connected(from.options.self.value(), to->options.self.value()))
        return;
    deliver(*to, latency(), [this, &from, to, request = fetch.request](ControlPlane& peer) {
        const peer::FetchStateResponse response = peer.answerFetchState(request);
        // The harness passes the configuration object instead of its text.
        const ConfigSnapshotPointer config = to->controlPlane->routingState()->config;
        deliver(from, latency() + from.fetchDelay, [this, response, config](ControlPlane& c) {
            c.handleConfig(config, m_now);
            if (response.has_table())
                c.handleTable(response.table(), StoreVersion(), m_now);
        });
    });
}

void ControlHarness::performFetchRecords(FakeBalancer& from, const FetchRecordsFrom& fetch)
{
    FakeBalancer* to = find(fetch.peer);
    const BalancerId peer = fetch.peer;
    if (!to || !to->alive || to->paused || !connected(from.options.self.value(), peer.value())) {
        deliver(from, 500ms, [this, peer](ControlPlane& c) {
            c.handleRecordsFetched(peer, Error { ErrorCode::Unavailable, "No answer." }, m_now);
        });
        return;
    }
    deliver(*to, latency(), [this, &from, peer, request = fetch.request](ControlPlane& other) {
        const peer::FetchRecordsResponse response = other.answerFetchRecords(request, m_now);
        deliver(from, latency(),
            [this, peer, response](ControlPlane& c) { c.handleRecordsFetched(peer, response, m_now); });
    });
}

void ControlHarness::performPush(FakeBalancer& from, const PushRecordsTo& push)
{
    FakeBalancer* to = find(push.peer);
    const std::uint64_t ticket = push.ticket;
    if (!to || !to->alive || to->paused || !connected(from.options.self.value(), push.peer.value())) {
        deliver(from, 500ms, [this, ticket](ControlPlane& c) {
            c.handleRecordsPushed(ticket, Error { ErrorCode::Unavailable, "No answer." }, m_now);
        });
        return;
    }
    deliver(*to, latency(), [this, &from, ticket, request = push.request](ControlPlane& other) {
        const peer::PushRecordsResponse response = other.answerPushRecords(request, m_now);
        deliver(from, latency(),
            [this, ticket, response](ControlPlane& c) { c.handleRecordsPushed(ticket, response, m_now); });
    });
}

bool ControlHarness::storeReachable(const FakeBalancer& balancer) const
{
    return !store.behaviour.down && !balancer.cutFromStore;
}

void ControlHarness::performWriteTable(FakeBalancer& from, const WriteTable& write)
{
    schedule(storeLatency(), [this, &from, write] {
        const bool reached = storeReachable(from);
        Result<StoreVersion> result = Error { ErrorCode::Unavailable, "The object API is down." };
        if (reached)
            result = storeTable(write);
        if (isOk(result)) {
            notifyWatchers();
            if (store.behaviour.lostAnswers > 0) {
                --store.behaviour.lostAnswers;
                result = Error { ErrorCode::Unknown, "The answer was lost." };
            }
        }
        deliver(from, storeLatency(), [this, result](ControlPlane& c) { c.handleTableWritten(result, m_now); });
        deliver(from, storeLatency(), [this, reached](ControlPlane& c) { c.handleStoreReachable(reached, m_now); });
    });
}

Result<StoreVersion> ControlHarness::storeTable(const WriteTable& write)
{
    if (store.behaviour.conflicts > 0) {
        --store.behaviour.conflicts;
        return Error { ErrorCode::Conflict, "The object has another version." };
    }
    if (write.expected != (store.table ? store.tableVersion : StoreVersion()))
        return Error { ErrorCode::Conflict, "The object has another version." };
    store.table = write.table;
    store.tableVersion = StoreVersion(++store.lastVersion);
    store.written.push_back(write.table);
    return store.tableVersion;
}

void ControlHarness::performWriteLease(FakeBalancer& from, const WriteLease& write)
{
    schedule(storeLatency(), [this, &from, write] {
        const bool reached = storeReachable(from);
        Result<StoreVersion> result = Error { ErrorCode::Unavailable, "The object API is down." };
        if (reached)
            result = storeLease(write);
        if (isOk(result))
            notifyWatchers();
        deliver(from, storeLatency(), [this, result](ControlPlane& c) { c.handleLeaseWritten(result, m_now); });
        deliver(from, storeLatency(), [this, reached](ControlPlane& c) { c.handleStoreReachable(reached, m_now); });
    });
}

Result<StoreVersion> ControlHarness::storeLease(const WriteLease& write)
{
    if (write.expected != (store.lease ? store.lease->version : StoreVersion()))
        return Error { ErrorCode::Conflict, "The object has another version." };
    store.lease = write.lease;
    store.lease->version = StoreVersion(++store.lastVersion);
    return store.lease->version;
}

void ControlHarness::readStore(FakeBalancer& to)
{
    const bool reached = storeReachable(to);
    deliver(to, storeLatency(), [this, reached](ControlPlane& c) { c.handleStoreReachable(reached, m_now); });
    if (!reached)
        return;
    const auto table = store.table;
    const StoreVersion version = store.tableVersion;
    const auto lease = store.lease;
    deliver(to, storeLatency(), [this, table, version, lease, config = m_config, list = m_vmList](ControlPlane& c) {
        if (config)
            c.handleConfig(config, m_now);
        c.handleVmList(list, m_now);
        if (table)
            c.handleTable(*table, version, m_now);
        if (lease)
            c.handleLease(*lease, m_now);
    });
}

void ControlHarness::retryWatches()
{
    m_nextWatchCheck = m_now + watchCheckInterval;
    for (const auto& [name, entry] : m_balancers) {
        const bool reached = storeReachable(*entry);
        if (!entry->alive || !entry->watching || reached == std::exchange(entry->reachedStore, reached))
            continue;
        readStore(*entry);
    }
}

void ControlHarness::notifyWatchers()
{
    for (const auto& [name, entry] : m_balancers) {
        if (entry->alive && entry->watching)
            readStore(*entry);
    }
}

void ControlHarness::publish(std::vector<ServiceConfig> services)
{
    const std::uint64_t version = m_config ? m_config->version().value() + 1 : 1;
    m_config = std::make_shared<ConfigSnapshot>(ConfigVersion(version), std::move(services));
    notifyWatchers();
}

void ControlHarness::setVmList(std::vector<VmEntry> entries)
{
    m_vmList = std::move(entries);
    notifyWatchers();
}

void ControlHarness::setReport(const TargetReport& report) { m_reports[report.target] = report; }

void ControlHarness::observe(const std::string& name, const TargetObservation& observation)
{
    deliver(balancer(name), Duration(0),
        [this, observation](ControlPlane& c) { c.handleTargetObservation(observation, m_now); });
}

std::vector<FakeBalancer*> ControlHarness::routing()
{
    std::vector<FakeBalancer*> result;
    for (const auto& [name, entry] : m_balancers) {
        const RoutingStatePointer state = entry->controlPlane->routingState();
        if (!entry->alive || entry->paused || !state->table)
            continue;
        const bool fenced
            = state->hasLivePeers && m_now - entry->controlPlane->lastPeerContact() > entry->options.fenceAfter;
        if (!fenced)
            result.push_back(entry.get());
    }
    return result;
}

bool ControlHarness::allSettled() const
{
    std::size_t alive = 0;
    for (const auto& [name, entry] : m_balancers)
        alive += entry->alive ? 1 : 0;
    return std::all_of(m_balancers.begin(), m_balancers.end(), [&](const auto& entry) {
        const RoutingStatePointer state = entry.second->controlPlane->routingState();
        if (!entry.second->alive)
            return true;
        return state->members.size() == alive
            && std::all_of(state->members.begin(), state->members.end(), [](const auto& m) { return m.settled; });
    });
}

bool ControlHarness::allApplied(TableVersion version) const
{
    return std::all_of(m_balancers.begin(), m_balancers.end(), [&](const auto& entry) {
        const RoutingStatePointer state = entry.second->controlPlane->routingState();
        return !entry.second->alive || (state->table && state->table->version() >= version);
    });
}

const FakeBalancer* ControlHarness::writer() const
{
    for (const auto& [name, entry] : m_balancers) {
        if (entry->alive && !entry->paused && entry->controlPlane->isTableWriter())
            return entry.get();
    }
    return nullptr;
}

TableSnapshotPointer ControlHarness::newestTable() const
{
    if (!store.table)
        return nullptr;
    const auto snapshot = TableSnapshot::fromMessage(*store.table);
    return isOk(snapshot) ? valueOf(snapshot) : nullptr;
}

} // namespace anvilwalk::fakes
