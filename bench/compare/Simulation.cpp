#include "Simulation.h"

#include <algorithm>
#include <fakes/PacketBuilder.h>

namespace anvilwalk::bench {

namespace {

    constexpr std::size_t wheelMs = 16'384;
    constexpr std::uint32_t firstServiceAddress = 0xcb007100;
    constexpr std::uint32_t firstClientAddress = 0x0a000000;
    constexpr std::uint32_t clientsPerAddress = 50'000;
    constexpr std::uint16_t firstRelayPort = 7000;
    constexpr std::uint32_t viewDelayMs = 600;
    constexpr std::uint32_t tableDelayMs = 1000;
    constexpr std::uint32_t planIntervalMs = 50;
    constexpr std::uint32_t weightStepMs = 5000;
    constexpr std::uint32_t firstTunnelAddress = 0xac100000;
    constexpr std::uint32_t leavingBoundMs = 3000;
    constexpr std::uint32_t streamIntervalMs = 5000;
    constexpr std::uint32_t openRetryMs = 1000;
    constexpr std::uint32_t dataRetryMs = 200;
    constexpr std::uint8_t maxRetries = 5;
    constexpr std::uint32_t expireIntervalMs = 5000;
    // One opening packet in this many is repeated although a target got it, because its answer was lost.
    constexpr std::uint32_t repeatedOneIn = 50;
    constexpr std::uint32_t repeatedTwiceOneIn = 200;
    constexpr std::chrono::milliseconds idleDeadline { 60'000 };
    constexpr std::array<std::size_t, 2> hostCounts { 14, 4 };
    // Share of each service in the new flows.
    constexpr std::array<double, 2> flowShares { 14.0 / 18, 4.0 / 18 };

    ServiceAddress addressOf(ServiceId id)
    {
        return { .address = { firstServiceAddress + id.value() }, .port = 443, .protocol = Protocol::Tcp };
    }

    ConfigSnapshotPointer makeConfig()
    {
        std::vector<ServiceConfig> services;
        for (std::uint32_t id = 1; id <= hostCounts.size(); ++id) {
            ServiceConfig service;
            service.id = ServiceId(id);
            service.addresses = { addressOf(service.id) };
            service.idleDeadline = idleDeadline;
            services.push_back(std::move(service));
        }
        return std::make_shared<const ConfigSnapshot>(ConfigVersion(1), std::move(services));
    }

    std::string hostName(ServiceId service, std::size_t host)
    {
        return "host-" + std::to_string(service.value()) + "-" + std::to_string(host);
    }

    bool fallsInto(const RoutingState& state, const std::function<bool(const SlotException&)>& condition,
        ServiceId service, SlotIndex slot)
    {
        const ServiceSlots* slots = state.table->findService(service);
        const SlotException* exception = slots ? slots->findException(slot) : nullptr;
        return exception && condition(*exception);
    }

} // namespace

std::uint64_t SimulationResult::brokenTotal() const
{
    std::uint64_t total = 0;
    for (const auto& [cause, count] : broken)
        total += count;
    return total;
}

Simulation::Simulation(const SimulationOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_config(makeConfig())
    , m_planner(TablePlannerOptions {})
    , m_wheel(wheelMs)
    , m_recordBytesBySecond(options.durationMs / 1000 + 1)
{
    const double flowsPerMs = static_cast<double>(options.newFlowsPerBalancer * options.balancers) / 1000;
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        Service& service = m_services[i];
        service.id = ServiceId(static_cast<std::uint32_t>(i + 1));
        service.hosts = hostCounts[i];
        service.flowsPerMs = flowsPerMs * flowShares[i];
        const double shortFlows = static_cast<double>(service.hosts * options.openFlowsPerHost) / 2;
        service.shortLifeMs = static_cast<std::uint32_t>(shortFlows / service.flowsPerMs);
        for (std::size_t host = 0; host < service.hosts; ++host)
            service.targets.push_back(makeTarget(service, host));
    }
    m_written = valueOf(TableSnapshot::fromMessage(planTable().value()));
    m_writtenAtMs[m_written->version()] = 0;
    for (std::size_t i = 0; i < options.balancers; ++i)
        addNode(true);
    std::vector<RoutingMember> members;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        members.push_back(memberOf(i, true));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i]->state.members = members;
        apply(i);
    }
}

RoutingMember Simulation::memberOf(std::size_t node, bool settled) const
{
    const BalancerId& id = m_nodes[node]->id;
    return { .id = id,
        .key = hashText(id.value()),
        .relayEndpoint = { .address = {}, .port = static_cast<std::uint16_t>(firstRelayPort + node) },
        .settled = settled };
}

std::size_t Simulation::addNode(bool settled)
{
    const std::size_t index = m_nodes.size();
    auto node = std::make_unique<Node>();
    node->id = BalancerId("lima-a-" + std::to_string(index + 1));
    node->flows = std::make_shared<FlowTable>(FlowTableOptions { .capacity = 300'000, .shards = 16 });
    if (m_options.design == Design::SlotTables)
        node->router = std::make_unique<SlotRouter>(SlotRouterOptions {}, node->flows);
    else if (m_options.design == Design::ConsistentHash)
        node->router = std::make_unique<baselines::ConsistentHashRouter>();
    else
        node->router = std::make_unique<baselines::ReplicatedRecordRouter>(node->flows);
    node->state.self = node->id;
    node->state.config = m_config;
    node->state.table = m_written;
    node->inFabric = settled;
    m_nodes.push_back(std::move(node));
    return index;
}

void Simulation::apply(std::size_t index)
{
    Node& node = *m_nodes[index];
    node.router->setState(std::make_shared<const RoutingState>(node.state));
}

MonotonicTime Simulation::now() const
{
    return MonotonicTime(std::chrono::seconds(1000)) + std::chrono::milliseconds(m_nowMs);
}

std::uint32_t Simulation::random(std::uint32_t bound) { return m_random(bound); }

void Simulation::later(std::uint32_t delayMs, std::function<void()> action)
{
    m_deferred.push_back({ m_nowMs + std::max<std::uint32_t>(delayMs, 1), std::move(action) });
}

SimulationResult Simulation::run()
{
    for (Service& service : m_services) {
        for (std::size_t i = 0; i < service.hosts * m_options.openFlowsPerHost / 2; ++i)
            openFlow(service, true);
    }
    for (m_nowMs = 0; m_nowMs < m_options.durationMs; ++m_nowMs) {
        if (m_nowMs == m_options.changeAtMs) {
            m_result.imbalanceBefore = imbalance(&Service::openFlows);
            startChange();
        }
        std::vector<Deferred> due;
        std::erase_if(m_deferred, [&](Deferred& deferred) {
            if (deferred.atMs > m_nowMs)
                return false;
            due.push_back(std::move(deferred));
            return true;
        });
        for (const Deferred& deferred : due)
            deferred.action();
        advanceTable();
        for (Service& service : m_services) {
            for (service.due += service.flowsPerMs; service.due >= 1; --service.due)
                openFlow(service, false);
        }
        for (const Relayed& relayed : std::exchange(m_relays, {})) {
            const auto bytes = packetFor(relayed.event);
            const auto packet = std::get<PacketView>(PacketView::parse(bytes));
            Node& node = *m_nodes[relayed.receiver];
            if (node.alive)
                handle(relayed.event, node.router->routeRelayed(relayed.header, packet, now()));
            else
                handleDrop(relayed.event, "dead_balancer");
        }
        for (const Event& event : std::exchange(m_wheel[m_nowMs % wheelMs], {}))
            send(event);
        replicateRecords();
        if (m_nowMs % viewDelayMs == 0)
            countHeartbeats();
        if (m_nowMs % expireIntervalMs == expireIntervalMs - 1) {
            for (const auto& node : m_nodes)
                node->flows->expire(now(), [](ServiceId) { return idleDeadline; });
        }
    }
    m_result.imbalanceAfter = imbalance(&Service::openFlows);
    m_result.requestImbalanceAfter = imbalance(&Service::openRequests);
    std::uint64_t bytes = 0;
    for (const auto& [kind, count] : m_result.controlBytes)
        bytes += count;
    m_result.balancers = m_options.balancers;
    const double nodeSeconds = static_cast<double>(m_options.balancers) * m_options.durationMs / 1000;
    m_result.controlRate = static_cast<double>(bytes) / nodeSeconds;
    m_result.peakRecordRate
        = static_cast<double>(*std::max_element(m_recordBytesBySecond.begin(), m_recordBytesBySecond.end()))
        / static_cast<double>(m_options.balancers);
    return m_result;
}

// Traffic.

void Simulation::openFlow(Service& service, bool stream)
{
    std::uint32_t index = 0;
    if (m_freeFlows.empty()) {
        index = static_cast<std::uint32_t>(m_flows.size());
        m_flows.emplace_back();
    } else {
        index = m_freeFlows.back();
        m_freeFlows.pop_back();
    }
    Flow& flow = m_flows[index];
    flow = {};
    const ServiceAddress address = addressOf(service.id);
    const std::uint32_t client = m_nextClient++;
    flow.key = { .source = { firstClientAddress + client / clientsPerAddress },
        .destination = address.address,
        .sourcePort = static_cast<std::uint16_t>(10'000 + client % clientsPerAddress),
        .destinationPort = address.port,
        .protocol = address.protocol };
    flow.service = service.id;
    flow.openedMs = m_nowMs;
    flow.stream = stream;
    flow.live = true;
    flow.packetsLeft = 3;
    flow.repeatOpening = random(repeatedOneIn) == 0;
    ++m_result.flows;
    // The streams open spread over the first two seconds.
    schedule({ index, Step::Open }, stream ? 1 + random(2000) : 0);
}

void Simulation::schedule(Event event, std::uint32_t delayMs)
{
    m_wheel[(m_nowMs + delayMs) % wheelMs].push_back(event);
}

std::vector<std::uint8_t> Simulation::packetFor(const Event& event) const
{
    const FlowKey& key = m_flows[event.flow].key;
    if (event.step == Step::Open || event.step == Step::RepeatOpening)
        return fakes::buildTcpPacket(key, { .syn = true });
    return fakes::buildTcpPacket(key, { .ack = true, .fin = event.step == Step::Close });
}

void Simulation::send(const Event& event)
{
    if (!m_flows[event.flow].live)
        return;
    ++m_result.packets;
    std::size_t receiver = random(static_cast<std::uint32_t>(m_nodes.size()));
    while (!m_nodes[receiver]->inFabric)
        receiver = random(static_cast<std::uint32_t>(m_nodes.size()));
    const auto bytes = packetFor(event);
    const auto packet = std::get<PacketView>(PacketView::parse(bytes));
    handle(event, m_nodes[receiver]->router->route(packet, now()));
}

void Simulation::handle(const Event& event, const Decision& decision)
{
    if (const auto* relay = std::get_if<RelayToBalancer>(&decision)) {
        ++m_result.relays;
        m_result.maxRelaysOfPacket = std::max<std::uint64_t>(m_result.maxRelaysOfPacket, relay->header.hops);
        m_relays.push_back(
            { static_cast<std::size_t>(relay->relayEndpoint.port - firstRelayPort), relay->header, event });
        return;
    }
    if (const auto* forward = std::get_if<ForwardToTarget>(&decision))
        return handleDelivery(event, forward->target);
    const auto* drop = std::get_if<DropPacket>(&decision);
    handleDrop(event, drop ? std::string(toString(drop->reason)) : "refused");
}

void Simulation::handleDelivery(const Event& event, TargetId target)
{
    Flow& flow = m_flows[event.flow];
    if (!flow.live)
        return;
    flow.retries = 0;
    Service& service = m_services[flow.service.value() - 1];
    if (!flow.opened) {
        flow.opened = true;
        flow.target = target;
        ++service.openFlows[target];
        if (!flow.stream)
            ++service.openRequests[target];
        const auto leaving = service.leavingSince.find(target);
        if (leaving != service.leavingSince.end()) {
            const std::uint32_t after = m_nowMs - leaving->second;
            m_result.lastOpeningAtLeavingMs = std::max(m_result.lastOpeningAtLeavingMs, after);
            if (after > leavingBoundMs)
                ++m_result.lateOpenings;
        }
    } else if (target != flow.target) {
        breakFlow(event.flow, event.step == Step::RepeatOpening ? "opening_repeated_at_other_target" : "other_target");
        return;
    }
    if (event.step == Step::Close)
        return endFlow(event.flow);
    scheduleNext(event, flow);
}

void Simulation::scheduleNext(const Event& event, Flow& flow)
{
    const std::uint32_t shortLifeMs = m_services[flow.service.value() - 1].shortLifeMs;
    if (event.step == Step::Open && flow.repeatOpening)
        return schedule({ event.flow, Step::RepeatOpening }, openRetryMs);
    if (event.step == Step::RepeatOpening && m_nowMs - flow.openedMs < 2 * openRetryMs
        && random(repeatedTwiceOneIn / repeatedOneIn) == 0)
        return schedule({ event.flow, Step::RepeatOpening }, 2 * openRetryMs);
    if (flow.stream)
        return schedule({ event.flow, Step::Data }, streamIntervalMs - 500 + random(1000));
    // A client sends its request right after the handshake, then acknowledges the answer and closes.
    if (event.step != Step::Data)
        return schedule({ event.flow, Step::Data }, 7);
    if (--flow.packetsLeft > 1)
        return schedule({ event.flow, Step::Data }, shortLifeMs / 2);
    schedule({ event.flow, Step::Close }, shortLifeMs / 2);
}

void Simulation::handleDrop(const Event& event, const std::string& reason)
{
    ++m_result.droppedPackets[reason];
    Flow& flow = m_flows[event.flow];
    if (!flow.live)
        return;
    if (++flow.retries > maxRetries) {
        breakFlow(event.flow, "undelivered");
        return;
    }
    const bool opening = event.step == Step::Open || event.step == Step::RepeatOpening;
    schedule(event, opening ? openRetryMs : dataRetryMs);
}

void Simulation::breakFlow(std::uint32_t flow, const std::string& cause)
{
    ++m_result.broken[cause];
    endFlow(flow);
}

void Simulation::endFlow(std::uint32_t index)
{
    Flow& flow = m_flows[index];
    if (!flow.live)
        return;
    flow.live = false;
    Service& service = m_services[flow.service.value() - 1];
    if (flow.opened)
        --service.openFlows[flow.target];
    if (flow.opened && !flow.stream)
        --service.openRequests[flow.target];
    m_freeFlows.push_back(index);
}

// Control.

void Simulation::startChange()
{
    const Scenario scenario = m_options.scenario;
    for (Service& service : m_services) {
        const bool drainsOne = scenario == Scenario::DrainOne || scenario == Scenario::ReplaceBalancers;
        const std::size_t drained = scenario == Scenario::DrainTwo ? 2 : drainsOne ? 1 : 0;
        for (std::size_t host = 0; host < drained; ++host) {
            service.targets[host].leaving = true;
            service.leavingSince[idOf(service, service.targets[host].host)] = m_nowMs;
        }
        if (scenario == Scenario::ScaleUp) {
            for (std::size_t host = service.hosts; host < service.hosts * 3 / 2; ++host)
                service.targets.push_back(makeTarget(service, host));
        }
        if (scenario == Scenario::WeightChange)
            service.targets[0].weight = 500;
    }
    if (scenario == Scenario::ReplaceBalancers)
        later(1000, [this] { replaceNext(0); });
}

KnownTarget Simulation::makeTarget(const Service& service, std::size_t host) const
{
    KnownTarget target;
    target.service = service.id;
    target.host = hostName(service.id, host);
    target.tunnel = { .address = { firstTunnelAddress + service.id.value() * 256 + static_cast<std::uint32_t>(host) },
        .port = 5555 };
    return target;
}

TargetId Simulation::idOf(const Service& service, const std::string& host) const
{
    for (const auto& [id, target] : m_written->findService(service.id)->targets) {
        if (target.host == host)
            return id;
    }
    return {};
}

Duration Simulation::sinceAnnounced(ServiceId service, SlotIndex slot) const
{
    const SlotException* exception = m_written->findService(service)->findException(slot);
    const auto written = exception ? m_writtenAtMs.find(exception->announcedIn) : m_writtenAtMs.end();
    return std::chrono::milliseconds(written == m_writtenAtMs.end() ? 0 : m_nowMs - written->second);
}

std::optional<table::TableSet> Simulation::planTable() const
{
    PlannerInput input;
    input.dataCentre = DataCentreId("lima-a");
    input.writer = BalancerId("lima-a-1");
    input.config = m_config;
    for (const Service& service : m_services)
        input.targets.insert(input.targets.end(), service.targets.begin(), service.targets.end());
    input.echoedByAll = echoedByAll();
    input.sinceAnnounced = [this](ServiceId service, SlotIndex slot) { return sinceAnnounced(service, slot); };
    input.sinceMoving = input.sinceAnnounced;
    // The streams last longer than a run, so that no moved slot becomes stable.
    input.clearOfOlderRecords = [](ServiceId, SlotIndex) { return false; };
    input.mayStepWeights = m_nowMs - m_weightsSteppedAtMs >= weightStepMs;
    return m_planner.plan(m_written, input);
}

void Simulation::writeTable(const table::TableSet& message)
{
    m_written = valueOf(TableSnapshot::fromMessage(message));
    m_writtenAtMs[m_written->version()] = m_nowMs;
    const std::uint64_t bytes = message.ByteSizeLong();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!m_nodes[i]->alive)
            continue;
        m_result.controlBytes["tables"] += bytes;
        later(random(tableDelayMs), [this, i, table = m_written] { adoptTable(i, table); });
    }
}

void Simulation::adoptTable(std::size_t index, const TableSnapshotPointer& table)
{
    Node& node = *m_nodes[index];
    if (!node.alive || node.state.table->version() >= table->version())
        return;
    node.state.table = table;
    if (m_options.design == Design::SlotTables) {
        for (const auto& [service, slots] : table->services()) {
            for (const auto& [slot, exception] : slots.exceptions)
                node.state.announcedAt.emplace(std::pair(service, slot), now());
        }
    }
    apply(index);
    if (m_options.design != Design::SlotTables)
        return;
    // The slots that this version announces; those announced before have their records already.
    const auto isNew = [&](ServiceId service, SlotIndex slot) {
        return fallsInto(
            node.state,
            [&](const SlotException& exception) {
                return exception.announcedIn == table->version() && exception.candidates.size() == 2;
            },
            service, slot);
    };
    pushRecords(index, FlowRecordCodec::recentOpenings(*node.flows, isNew, now()));
}

TableVersion Simulation::echoedByAll() const
{
    TableVersion lowest(m_nodes.empty() ? 0 : ~std::uint64_t { 0 });
    for (const auto& node : m_nodes) {
        if (node->alive)
            lowest = std::min(lowest, node->state.table->version());
    }
    return lowest;
}

void Simulation::advanceTable()
{
    if (m_nowMs % planIntervalMs != 0 || m_nowMs < m_options.changeAtMs)
        return;
    const auto next = planTable();
    if (!next)
        return;
    const auto weightsOf = [](const table::TableSet& set) {
        std::vector<std::uint32_t> weights;
        for (const table::ServiceTable& service : set.services()) {
            for (const table::TargetEntry& target : service.targets())
                weights.push_back(target.weight());
        }
        return weights;
    };
    if (weightsOf(*next) != weightsOf(m_written->message()))
        m_weightsSteppedAtMs = m_nowMs;
    writeTable(*next);
}

void Simulation::pushRecords(std::size_t from, const std::vector<peer::FlowRecordEntry>& entries)
{
    std::map<std::size_t, peer::PushRecordsRequest> requests;
    for (const peer::FlowRecordEntry& entry : entries) {
        const auto order = rankMembers(
            m_nodes[from]->state, ServiceId(entry.service()), SlotIndex(static_cast<std::uint16_t>(entry.slot())));
        for (std::size_t rank = 0; rank < std::min<std::size_t>(2, order.size()); ++rank)
            *requests[order[rank]->relayEndpoint.port - firstRelayPort].add_records() = entry;
    }
    for (auto& [receiver, request] : requests) {
        if (receiver == from) {
            FlowRecordCodec::store(*m_nodes[from]->flows, request.records(), now());
            continue;
        }
        request.set_sender(m_nodes[from]->id.value());
        countRecordBytes(request.ByteSizeLong());
        FlowRecordCodec::store(*m_nodes[receiver]->flows, request.records(), now());
    }
}

void Simulation::replicateRecords()
{
    if (m_options.design != Design::ReplicatedRecords)
        return;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto& router = dynamic_cast<baselines::ReplicatedRecordRouter&>(*m_nodes[i]->router);
        const auto entries = router.takeNewRecords();
        if (entries.empty() || !m_nodes[i]->alive)
            continue;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other == i || !m_nodes[other]->alive)
                continue;
            countRecordBytes(entries.size() * baselines::ReplicatedRecordRouter::bytesPerRecord);
            dynamic_cast<baselines::ReplicatedRecordRouter&>(*m_nodes[other]->router).store(entries, now());
        }
    }
}

void Simulation::countRecordBytes(std::uint64_t bytes)
{
    m_result.controlBytes["records"] += bytes;
    m_recordBytesBySecond[m_nowMs / 1000] += bytes;
}

// Every design needs to know its members; the bytes are those of the heartbeat message without endpoints.
void Simulation::countHeartbeats()
{
    peer::Heartbeat heartbeat;
    heartbeat.set_sender("lima-a-1");
    heartbeat.set_incarnation(1'700'000'000);
    heartbeat.set_state(peer::MEMBER_STATE_SETTLED);
    heartbeat.set_data_centre("lima-a");
    heartbeat.set_table_version(m_written->version().value());
    heartbeat.set_config_version(1);
    for (std::size_t i = 1; i < m_options.balancers; ++i) {
        peer::PeerObservation& peer = *heartbeat.add_peers();
        peer.set_balancer("lima-a-1");
        peer.set_incarnation(1'700'000'000);
        peer.set_state(peer::MEMBER_STATE_SETTLED);
        peer.set_heard_ms_ago(300);
        peer.set_table_version(m_written->version().value());
        peer.set_config_version(1);
    }
    m_result.controlBytes["heartbeats"] += heartbeat.ByteSizeLong() * m_options.balancers * (m_options.balancers - 1);
}

// Applies a change of one member (1 settled, 0 unsettled, -1 gone) to the views of all balancers.
void Simulation::viewEverywhere(std::size_t member, int change, std::function<void()> done)
{
    for (std::size_t view = 0; view < m_nodes.size(); ++view) {
        if (!m_nodes[view]->alive)
            continue;
        later(view == member ? 1 : random(viewDelayMs), [this, view, member, change] {
            auto& members = m_nodes[view]->state.members;
            std::erase_if(members, [&](const RoutingMember& known) { return known.id == m_nodes[member]->id; });
            if (change >= 0)
                members.push_back(memberOf(member, change == 1));
            m_nodes[view]->state.selfLeaving = m_nodes[view]->state.selfLeaving || (change < 0 && view == member);
            apply(view);
        });
    }
    later(viewDelayMs + 1, std::move(done));
}

// Replaces the balancers that the run started with, one after the other: a new one joins, an old one leaves.
void Simulation::replaceNext(std::size_t leaving)
{
    if (leaving == m_options.balancers)
        return;
    join([this, leaving] {
        Node& node = *m_nodes[leaving];
        node.inFabric = false;
        viewEverywhere(leaving, -1, [this, leaving] {
            const auto isMoving = [this, leaving](ServiceId service, SlotIndex slot) {
                return fallsInto(
                    m_nodes[leaving]->state, [](const SlotException&) { return true; }, service, slot);
            };
            if (m_options.design == Design::SlotTables)
                pushRecords(leaving, FlowRecordCodec::confirmedRecords(*m_nodes[leaving]->flows, isMoving, now()));
            // No packet has arrived for one second.
            later(1000, [this, leaving] {
                m_nodes[leaving]->alive = false;
                replaceNext(leaving + 1);
            });
        });
    });
}

void Simulation::join(std::function<void()> done)
{
    const std::size_t index = addNode(false);
    RoutingState& state = m_nodes[index]->state;
    for (const auto& node : m_nodes) {
        if (node->alive && !node->state.selfLeaving && node->id != state.self) {
            state.members = node->state.members;
            break;
        }
    }
    for (const auto& [service, slots] : state.table->services()) {
        for (const auto& [slot, exception] : slots.exceptions)
            state.announcedAt.emplace(std::pair(service, slot), now());
    }
    apply(index);
    viewEverywhere(index, 0, [this, index, done = std::move(done)] { settle(index, done); });
}

void Simulation::settle(std::size_t index, std::function<void()> done)
{
    Node& joined = *m_nodes[index];
    const auto isOwn = [&](ServiceId service, SlotIndex slot) {
        const auto order = rankMembers(joined.state, service, slot);
        return fallsInto(
                   joined.state, [](const SlotException&) { return true; }, service, slot)
            && (order[0]->id == joined.id || order[1]->id == joined.id);
    };
    for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
        if (peer == index || !m_nodes[peer]->alive)
            continue;
        if (m_options.design == Design::SlotTables) {
            peer::FetchRecordsResponse response;
            for (auto& entry : FlowRecordCodec::confirmedRecords(*m_nodes[peer]->flows, isOwn, now()))
                *response.add_records() = std::move(entry);
            countRecordBytes(response.ByteSizeLong());
            FlowRecordCodec::store(*joined.flows, response.records(), now());
        }
    }
    if (m_options.design == Design::ReplicatedRecords) {
        std::vector<FlowEntry> entries;
        m_nodes[index - 1]->flows->visit([&](const FlowEntry& entry) { entries.push_back(entry); });
        countRecordBytes(entries.size() * baselines::ReplicatedRecordRouter::bytesPerRecord);
        dynamic_cast<baselines::ReplicatedRecordRouter&>(*joined.router).store(entries, now());
    }
    viewEverywhere(index, 1, [this, index, done = std::move(done)] {
        m_nodes[index]->inFabric = true;
        done();
    });
}

std::map<std::size_t, double> Simulation::imbalance(OpenFlows openFlows) const
{
    std::map<std::size_t, double> result;
    for (const Service& service : m_services) {
        double highest = 0;
        double sum = 0;
        double count = 0;
        for (const auto& [id, target] : m_written->findService(service.id)->targets) {
            if (target.leaving)
                continue;
            const auto open = (service.*openFlows).find(id);
            const double load
                = open == (service.*openFlows).end() ? 0 : static_cast<double>(open->second) / target.weight;
            highest = std::max(highest, load);
            sum += load;
            ++count;
        }
        result[service.hosts] = sum > 0 ? highest * count / sum : 0;
    }
    return result;
}

} // namespace anvilwalk::bench
