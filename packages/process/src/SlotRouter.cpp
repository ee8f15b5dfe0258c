#include <anvilwalk/process/SlotRouter.h>

#include "PreparedState.h"

#include <limits>

namespace anvilwalk {

namespace {

    constexpr std::int64_t never = std::numeric_limits<std::int64_t>::min();
    // An owner has the record of an active flow confirmed again this many times per idle deadline, so that the
    // backup's copy does not expire.
    constexpr int confirmationsPerIdleDeadline = 4;

    std::uint64_t nextGeneration()
    {
        static std::atomic<std::uint64_t> generation { 0 };
        return generation.fetch_add(1, std::memory_order_relaxed) + 1;
    }

    std::uint32_t ageMs(MonotonicTime now, std::uint32_t thenMs)
    {
        const auto age = static_cast<std::int32_t>(FlowTable::toMilliseconds(now) - thenMs);
        return age > 0 ? static_cast<std::uint32_t>(age) : 0;
    }

    bool isConfirmed(const std::optional<FlowRecord>& record)
    {
        return record && record->kind == FlowRecordKind::Confirmed;
    }

} // namespace

struct SlotRouter::Context {
    const PreparedState& state;
    const PreparedService& service;
    const PacketView& packet;
    std::uint64_t hash;
    SlotIndex slotIndex;
    // Null if the slot is stable in this balancer's state.
    const PreparedSlot* slot;
    MonotonicTime now;
    // Number of relays so far.
    std::uint32_t hops;

    const FlowKey& key() const { return packet.key(); }
    PacketKind kind() const { return packet.kind(); }
};

SlotRouter::SlotRouter(const SlotRouterOptions& options, std::shared_ptr<FlowTable> flows)
    : m_options(options)
    , m_flows(std::move(flows))
    , m_lastPeerContactNs(never)
{
}

SlotRouter::~SlotRouter() = default;

void SlotRouter::setState(RoutingStatePointer source)
{
    std::shared_ptr<const PreparedState> previous;
    {
        const std::lock_guard lock(m_mutex);
        previous = m_state;
    }
    std::shared_ptr<const PreparedState> next;
    if (source) {
        next = PreparedState::make(std::move(source), previous.get(), m_counters,
            { .honourAnnouncedPhase = m_options.honourAnnouncedPhase, .consultSettled = m_options.consultSettled });
    }
    const std::lock_guard lock(m_mutex);
    m_state = std::move(next);
    m_generation.store(nextGeneration(), std::memory_order_release);
}

// Each thread caches a reference to the state it used last, so that a packet costs one atomic load and no update of
// a reference count shared by all threads.
const PreparedState* SlotRouter::currentState() const
{
    struct Cache {
        std::uint64_t generation = 0;
        std::shared_ptr<const PreparedState> state;
    };
    thread_local Cache cache;
    if (cache.generation != m_generation.load(std::memory_order_acquire)) {
        const std::lock_guard lock(m_mutex);
        cache.state = m_state;
        cache.generation = m_generation.load(std::memory_order_relaxed);
    }
    // A router without a state has generation 0, which only a cache without a state has too.
    return cache.generation == 0 ? nullptr : cache.state.get();
}

void SlotRouter::updatePeerContact(MonotonicTime time)
{
    const std::int64_t ns = time.time_since_epoch().count();
    std::int64_t last = m_lastPeerContactNs.load(std::memory_order_relaxed);
    while (last < ns && !m_lastPeerContactNs.compare_exchange_weak(last, ns, std::memory_order_relaxed)) { }
}

bool SlotRouter::isFenced(const PreparedState& state, MonotonicTime now) const
{
    if (!m_options.fence || !state.source->hasLivePeers || state.source->servesAlone)
        return false;
    const std::int64_t last = m_lastPeerContactNs.load(std::memory_order_relaxed);
    return last == never || now - MonotonicTime(Duration(last)) > m_options.fenceAfter;
}

Decision SlotRouter::route(const PacketView& packet, MonotonicTime now)
{
    const PreparedState* state = currentState();
    if (!state || isFenced(*state, now))
        return dropUnknown(DropReason::StaleState);
    const PreparedService* service = state->findService(packet.key().serviceAddress());
    if (!service)
        return dropUnknown(DropReason::UnknownAddress);
    service->counters->addPacket();
    const std::uint64_t hash = packet.key().hash();
    const SlotIndex slotIndex = slotOf(hash);
    Context context { *state, *service, packet, hash, slotIndex, nullptr, now, 0 };
    if (service->stable.empty())
        return drop(context, DropReason::NoTarget);
    if (const TableTarget* target = service->stable[slotIndex.value()])
        return routeStable(context, *target);
    context.slot = &service->unstable.at(slotIndex);
    return routeUnstable(context);
}

Decision SlotRouter::routeRelayed(const RelayHeader& header, const PacketView& packet, MonotonicTime now)
{
    const PreparedState* state = currentState();
    if (!state || isFenced(*state, now))
        return dropUnknown(DropReason::StaleState);
    const PreparedService* service = state->findService(packet.key().serviceAddress());
    if (!service)
        return dropUnknown(DropReason::UnknownAddress);
    const std::uint64_t hash = packet.key().hash();
    const SlotIndex slotIndex = slotOf(hash);
    Context context { *state, *service, packet, hash, slotIndex, nullptr, now, header.hops };
    // The sender may have a different configuration version, in which the address belongs to another service.
    if (header.service != service->config->id || header.slot != slotIndex || header.hops == 0)
        return drop(context, DropReason::BadRelayHeader);
    if (header.hops > m_options.maxRelays)
        return drop(context, DropReason::TooManyRelays);
    if (service->stable.empty())
        return drop(context, DropReason::NoTarget);
    const TableTarget* stableTarget = service->stable[slotIndex.value()];
    if (!stableTarget)
        context.slot = &service->unstable.at(slotIndex);
    if (header.purpose == RelayPurpose::Replicate)
        return replicate(context, header);
    if (header.purpose == RelayPurpose::Confirmed)
        return completeReplication(context, header);
    // A slot that is stable here and announced at the sender has the same target for every flow in both states.
    if (stableTarget)
        return routeStable(context, *stableTarget);
    // Every balancer ranks two given members in the same order. An owner that relays a packet to
    // another member for a decision is therefore leaving.
    const std::vector<const RoutingMember*>& order = context.slot->order;
    if (state->source->selfLeaving || order.empty() || order.front()->id != header.sender)
        return routeUnstable(context);
    const PreparedSlot slot = context.slot->withoutOwner(*state, m_options.consultSettled);
    context.slot = &slot;
    return routeUnstable(context);
}

Decision SlotRouter::routeStable(const Context& context, const TableTarget& target)
{
    const PacketKind kind = context.kind();
    if (kind != PacketKind::Opening) {
        const auto record = m_flows->touch(context.key(), context.hash, kind, context.now);
        // The first UDP packet of a flow cannot be distinguished from a later packet of a flow that was opened at
        // another balancer. A datagram without a record is therefore recorded as an opening, but not limited.
        if (record || kind != PacketKind::Datagram)
            return ForwardToTarget {
                .target = target.id, .tunnel = target.tunnel, .service = context.service.config->id
            };
    }
    const AdmissionLimits& limits = context.service.limits;
    const bool limited = limits.newFlowsPerSecond > 0 || limits.openFlows > 0;
    if (kind == PacketKind::Opening && limited && isNewFlow(context)) {
        if (const auto reason = context.service.limiter->admit(context.now, context.service.counters->openFlows()))
            return drop(context, *reason);
    }
    const FlowRecord record { .target = target.id,
        .service = context.service.config->id,
        .slot = context.slotIndex,
        .kind = FlowRecordKind::Observed };
    const InsertResult result = m_flows->observe(context.key(), context.hash, record, context.now);
    if (result.kind != InsertResult::Kind::Existing)
        context.service.counters->addOpening(target.id);
    return ForwardToTarget { .target = target.id, .tunnel = target.tunnel, .service = context.service.config->id };
}

Decision SlotRouter::routeUnstable(const Context& context)
{
    if (context.slot->selfOwns)
        return decideAsOwner(context);
    return relay(context, *context.slot->order.front(), RelayPurpose::Decide, BalancerId(), TargetId());
}

Decision SlotRouter::decideAsOwner(const Context& context)
{
    const auto record = m_flows->touch(context.key(), context.hash, context.kind(), context.now);
    if (!isConfirmed(record))
        return decideUnknownFlow(context);
    if (isReuseOnLeavingTarget(context, *record))
        return drop(context, DropReason::ReusedTuple);
    if (needsConfirmation(context, *record))
        return propose(context, record->target, false);
    return forward(context, record->target);
}

Decision SlotRouter::decideUnknownFlow(const Context& context)
{
    const PreparedSlot& slot = *context.slot;
    bool opening = context.kind() == PacketKind::Opening;
    if (context.kind() == PacketKind::Datagram) {
        opening = slot.announcedAt && context.now - *slot.announcedAt > context.service.config->idleDeadline;
    }
    if (!opening)
        return propose(context, slot.oldest, false);
    if (const auto reason = context.service.limiter->admit(context.now, context.service.counters->openFlows()))
        return refuseOrDrop(context, *reason);
    if (!m_flows->hasRoom(context.hash))
        return refuseOrDrop(context, DropReason::TableFull);
    return propose(context, slot.opening, true);
}

Decision SlotRouter::propose(const Context& context, TargetId target, bool isNew)
{
    const RoutingMember* confirmer = m_options.confirmWithBackup ? context.slot->confirmer : nullptr;
    if (confirmer)
        return relay(context, *confirmer, RelayPurpose::Replicate, context.state.source->self, target);
    if (storeConfirmed(context, target, true).kind == InsertResult::Kind::Full)
        return isNew ? refuseOrDrop(context, DropReason::TableFull) : forward(context, target);
    if (isNew)
        context.service.counters->addOpening(target);
    return forward(context, target);
}

Decision SlotRouter::replicate(const Context& context, const RelayHeader& header)
{
    if (header.target == TargetId() || header.owner == context.state.source->self)
        return drop(context, DropReason::BadRelayHeader);
    const auto record = m_flows->touch(context.key(), context.hash, context.kind(), context.now);
    if (isConfirmed(record) && isReuseOnLeavingTarget(context, *record))
        return drop(context, DropReason::ReusedTuple);
    const RoutingMember* owner = context.state.findMember(header.owner);
    if (!owner)
        return decideForUnknownOwner(context, record);
    // A settled owner has every record; an unsettled backup may hold outdated ones from before it was paused.
    const bool preferOwner = owner->settled && !context.state.selfSettled;
    const InsertResult result = storeConfirmed(context, header.target, preferOwner);
    const TargetId target = result.record ? result.record->target : TargetId();
    // The balancer that confirms for an unsettled owner may not be the backup. The reply is then relayed through the
    // backup, so that it stores the record too.
    if (context.slot && !owner->settled && target != TargetId() && header.hops + 2 <= m_options.maxRelays) {
        for (const RoutingMember* member : context.slot->order) {
            if (member->id == header.owner)
                continue;
            if (member->id != context.state.source->self)
                return relay(context, *member, RelayPurpose::Confirmed, header.owner, target);
            break;
        }
    }
    return relay(context, *owner, RelayPurpose::Confirmed, header.owner, target);
}

// The owner that requests the confirmation has just joined and is not known here yet, or has been removed. A record
// created for it would be missing at the owner and backup in this balancer's member list.
Decision SlotRouter::decideForUnknownOwner(const Context& context, const std::optional<FlowRecord>& record)
{
    if (!context.slot)
        return drop(context, DropReason::NoOwner);
    const bool changesRecord = context.kind() == PacketKind::Opening || context.kind() == PacketKind::Closing;
    if (isConfirmed(record) && context.state.selfSettled && !changesRecord)
        return forward(context, record->target);
    return routeUnstable(context);
}

Decision SlotRouter::completeReplication(const Context& context, const RelayHeader& header)
{
    if (header.target == TargetId())
        return header.owner == context.state.source->self ? handleFullTable(context)
                                                          : drop(context, DropReason::BadRelayHeader);
    const InsertResult result = storeConfirmed(context, header.target, true);
    if (header.owner != context.state.source->self) {
        if (const RoutingMember* owner = context.state.findMember(header.owner))
            return relay(context, *owner, RelayPurpose::Confirmed, header.owner, header.target);
        return context.slot ? routeUnstable(context) : drop(context, DropReason::NoOwner);
    }
    // The owner of the slot has changed; the new owner may have received the records before this one was created.
    if (context.slot && !context.slot->selfOwns)
        return routeUnstable(context);
    // The backup's record may be older than this packet: an earlier copy may have reached the target, so the flow must
    // not be refused.
    if (result.kind == InsertResult::Kind::Full && context.kind() == PacketKind::Opening)
        return drop(context, DropReason::TableFull);
    const bool mayOpen = context.kind() == PacketKind::Opening || context.kind() == PacketKind::Datagram;
    if (result.kind == InsertResult::Kind::Inserted && mayOpen)
        context.service.counters->addOpening(header.target);
    return forward(context, header.target);
}

// Called if the backup has no record of the flow and no room for a new one.
Decision SlotRouter::handleFullTable(const Context& context)
{
    if (!context.slot)
        return drop(context, DropReason::TableFull);
    const auto record = m_flows->find(context.key(), context.hash);
    if (isConfirmed(record))
        return forward(context, record->target);
    // A flow opened before the change needs no record: it goes to the oldest candidate.
    if (context.kind() == PacketKind::Data || context.kind() == PacketKind::Closing)
        return forward(context, context.slot->oldest);
    return refuseOrDrop(context, DropReason::TableFull);
}

// The caller has found no record of the flow. A reset is sent only if no target can have received the opening packet;
// see section 3.5 of the design page.
Decision SlotRouter::refuseOrDrop(const Context& context, DropReason reason)
{
    const PreparedSlot* slot = context.slot;
    const bool announcedLongAgo
        = slot && slot->announcedAt && context.now - *slot->announcedAt >= m_options.retransmissionWindow;
    const bool mayRefuse
        = context.kind() == PacketKind::Opening && context.state.selfSettled && announcedLongAgo && slot->selfOwns;
    if (!mayRefuse)
        return drop(context, reason);
    context.service.counters->addRefused();
    return RefuseFlow { .service = context.service.config->id };
}

Decision SlotRouter::forward(const Context& context, TargetId id)
{
    const TableTarget* target = context.service.slots->findTarget(id);
    if (!target)
        return drop(context, DropReason::NoTarget);
    return ForwardToTarget { .target = id, .tunnel = target->tunnel, .service = context.service.config->id };
}

Decision SlotRouter::relay(const Context& context, const RoutingMember& receiver, RelayPurpose purpose,
    const BalancerId& owner, TargetId target)
{
    if (context.hops >= m_options.maxRelays)
        return drop(context, DropReason::TooManyRelays);
    context.service.counters->addRelayed();
    return RelayToBalancer {
        .relayEndpoint = receiver.relayEndpoint,
        .header = { .purpose = purpose,
            .hops = context.hops + 1,
            .sender = context.state.source->self,
            .owner = owner,
            .service = context.service.config->id,
            .slot = context.slotIndex,
            .target = target,
            .tableVersion = context.state.tableVersion },
    };
}

Decision SlotRouter::drop(const Context& context, DropReason reason)
{
    context.service.counters->addDropped();
    return dropUnknown(reason);
}

Decision SlotRouter::dropUnknown(DropReason reason)
{
    m_counters.addDrop(reason);
    return DropPacket { .reason = reason };
}

void SlotRouter::countDrop(DropReason reason) { m_counters.addDrop(reason); }

// Adds the confirmed record of a flow or renews an existing one, whose target changes only if replaceTarget is set.
InsertResult SlotRouter::storeConfirmed(const Context& context, TargetId target, bool replaceTarget)
{
    const auto existing = m_flows->find(context.key(), context.hash);
    const bool known = isConfirmed(existing);
    const bool wasClosed = known && existing->closed && context.kind() != PacketKind::Opening;
    const FlowRecord record {
        .target = known && !replaceTarget ? existing->target : target,
        .service = context.service.config->id,
        .slot = context.slotIndex,
        .kind = FlowRecordKind::Confirmed,
        .closed = m_options.keepClosedRecords && (wasClosed || context.kind() == PacketKind::Closing),
        .openedMs = FlowTable::toMilliseconds(context.now),
    };
    InsertResult result = m_flows->assign(context.key(), context.hash, record, context.now);
    if (result.kind == InsertResult::Kind::Existing && !known)
        result.kind = InsertResult::Kind::Inserted;
    return result;
}

bool SlotRouter::isReuseOnLeavingTarget(const Context& context, const FlowRecord& record) const
{
    if (!record.closed || context.kind() != PacketKind::Opening)
        return false;
    const TableTarget* target = context.service.slots->findTarget(record.target);
    return !target || target->leaving;
}

// Whether a packet of a flow with a record must be confirmed by the backup: the record's state changes, the backup's
// copy is due for renewal, or this balancer's record may not be the latest.
bool SlotRouter::needsConfirmation(const Context& context, const FlowRecord& record) const
{
    if (context.kind() == PacketKind::Closing)
        return true;
    if (record.closed && context.kind() == PacketKind::Opening)
        return true;
    if (m_options.consultSettled && !context.state.selfSettled)
        return true;
    const auto renewAfter = context.service.config->idleDeadline / confirmationsPerIdleDeadline;
    return ageMs(context.now, record.openedMs) > renewAfter.count();
}

bool SlotRouter::isNewFlow(const Context& context) const
{
    const auto record = m_flows->find(context.key(), context.hash);
    return !record || record->closed;
}

void SlotRouter::countOpenFlows()
{
    std::shared_ptr<const PreparedState> state;
    {
        const std::lock_guard lock(m_mutex);
        state = m_state;
    }
    if (!state)
        return;
    absl::flat_hash_map<ServiceId, const PreparedService*> services;
    absl::flat_hash_map<ServiceId, absl::flat_hash_map<TargetId, std::uint64_t>> counts;
    for (const PreparedService& service : state->services) {
        services.emplace(service.config->id, &service);
        counts[service.config->id];
    }
    m_flows->visit([&](const FlowEntry& entry) {
        const auto found = services.find(entry.record.service);
        if (entry.record.closed || found == services.end())
            return;
        // The owner counts the flow; the copy at the backup is skipped.
        const auto slot = found->second->unstable.find(entry.record.slot);
        const bool confirmed = entry.record.kind == FlowRecordKind::Confirmed;
        if (slot != found->second->unstable.end() && confirmed && !slot->second.selfOwns)
            return;
        ++counts[entry.record.service][entry.record.target];
    });
    for (const auto& [id, service] : services)
        service->counters->setOpenFlows(std::move(counts[id]));
}

} // namespace anvilwalk
