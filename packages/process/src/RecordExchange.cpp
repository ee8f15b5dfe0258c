#include <anvilwalk/process.h>

#include <algorithm>

namespace anvilwalk {

namespace {

    using namespace std::chrono_literals;

    // The packet threads may route by the previous state for a short time after a new one is published.
    constexpr auto pushOpeningsDelay = 50ms;
    constexpr auto retryDelay = 200ms;
    // A push without a response within this time is sent again.
    constexpr auto pushTimeout = 2000ms;
    // About 80 KB per request, well below the default gRPC message limit of 4 MB.
    constexpr std::size_t recordsPerPush = 2000;

    SlotKey keyOf(const FlowRecord& record) { return { record.service, record.slot }; }

    std::vector<const RoutingMember*> ownerAndBackup(const RoutingState& state, const SlotKey& key)
    {
        std::vector<const RoutingMember*> order = rankMembers(state, key.first, key.second);
        order.resize(std::min<std::size_t>(order.size(), 2));
        return order;
    }

    bool contains(const std::vector<const RoutingMember*>& order, const BalancerId& id)
    {
        return std::any_of(order.begin(), order.end(), [&](const RoutingMember* member) { return member->id == id; });
    }

    // Slots with an exception in the table or with a doubted target.
    std::set<SlotKey> unstableSlots(const RoutingState& state)
    {
        std::set<SlotKey> keys;
        if (!state.table)
            return keys;
        for (const auto& [service, slots] : state.table->services()) {
            for (const auto& [slot, exception] : slots.exceptions)
                keys.insert({ service, slot });
            for (std::uint16_t index = 0; index < slots.slots.size() && !state.doubts.empty(); ++index) {
                if (state.doubts.contains(slots.slots[index]))
                    keys.insert({ service, SlotIndex(index) });
            }
        }
        return keys;
    }

} // namespace

RecordExchange::RecordExchange(const ControlPlaneOptions& options, std::shared_ptr<FlowTable> flows)
    : m_options(options)
    , m_flows(std::move(flows))
{
}

std::uint64_t RecordExchange::pushOpenings(std::set<SlotKey> slots, MonotonicTime openedSince, MonotonicTime now)
{
    Job job;
    job.slots = std::move(slots);
    job.openedSince = openedSince;
    job.due = now + pushOpeningsDelay;
    m_jobs.emplace(m_nextJob, std::move(job));
    return m_nextJob++;
}

void RecordExchange::pushReassigned(const RoutingState& before, const RoutingState& after, MonotonicTime now)
{
    if (m_options.testSwitches.skipRecordSync)
        return;
    Job job;
    for (const SlotKey& key : unstableSlots(after)) {
        const auto oldOrder = ownerAndBackup(before, key);
        if (!contains(oldOrder, m_options.self))
            continue;
        const auto newOrder = ownerAndBackup(after, key);
        const bool changed = std::any_of(newOrder.begin(), newOrder.end(),
            [&](const RoutingMember* member) { return !contains(oldOrder, member->id); });
        if (!changed)
            continue;
        job.slots.insert(key);
        for (const RoutingMember* member : oldOrder)
            job.holders[key].insert(member->id);
    }
    if (job.slots.empty())
        return;
    // An unsettled balancer fetches the records itself, but not from a balancer that is leaving.
    job.includeUnsettled = after.selfLeaving;
    job.due = now;
    m_jobs.emplace(m_nextJob++, std::move(job));
}

void RecordExchange::pushAll(const RoutingState& state, MonotonicTime now)
{
    Job job;
    job.slots = unstableSlots(state);
    job.due = now;
    if (!job.slots.empty() && !m_options.testSwitches.skipRecordSync)
        m_jobs.emplace(m_nextJob++, std::move(job));
}

void RecordExchange::restart(MonotonicTime now)
{
    for (auto& [number, job] : m_jobs) {
        job.outstanding.clear();
        job.due = std::max(job.due, now);
    }
}

void RecordExchange::handlePushed(std::uint64_t ticket, bool ok, MonotonicTime now)
{
    for (auto& [number, job] : m_jobs) {
        if (job.outstanding.erase(ticket) == 0)
            continue;
        if (!ok) {
            job.outstanding.clear();
            job.due = now + retryDelay;
            return;
        }
        if (job.outstanding.empty())
            m_jobs.erase(number);
        return;
    }
}

void RecordExchange::tick(const RoutingState& state, MonotonicTime now, std::vector<ControlAction>& actions)
{
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        const auto current = entry++;
        Job& job = current->second;
        if (!job.outstanding.empty()) {
            if (now - job.sentAt > pushTimeout) {
                job.outstanding.clear();
                job.due = now;
            }
            continue;
        }
        if (now < job.due)
            continue;
        send(job, collect(job, state, now), now, actions);
        if (job.outstanding.empty())
            m_jobs.erase(current);
    }
}

RecordExchange::Batches RecordExchange::collect(const Job& job, const RoutingState& state, MonotonicTime now)
{
    Batches batches;
    std::vector<FlowEntry> own;
    std::map<SlotKey, std::vector<const RoutingMember*>> receiversOf;
    const std::uint32_t sinceMs = FlowTable::toMilliseconds(job.openedSince.value_or(MonotonicTime()));
    m_flows->visit([&](const FlowEntry& flow) {
        const SlotKey key = keyOf(flow.record);
        const bool observed = flow.record.kind == FlowRecordKind::Observed;
        if (!job.slots.contains(key) || (observed && !job.openedSince))
            return;
        if (job.openedSince && static_cast<std::int32_t>(flow.record.openedMs - sinceMs) < 0)
            return;
        const auto found = receiversOf.find(key);
        const auto& members
            = found != receiversOf.end() ? found->second : receiversOf[key] = receivers(job, state, key);
        for (const RoutingMember* member : members) {
            if (member->id != m_options.self)
                batches[member->id].push_back(FlowRecordCodec::toEntry(flow, now));
            else if (observed)
                own.push_back(flow);
        }
    });
    for (FlowEntry& flow : own) {
        flow.record.kind = FlowRecordKind::Confirmed;
        m_flows->insert(flow.key, flow.key.hash(), flow.record, now);
    }
    return batches;
}

std::vector<const RoutingMember*> RecordExchange::receivers(
    const Job& job, const RoutingState& state, const SlotKey& key) const
{
    std::vector<const RoutingMember*> members = ownerAndBackup(state, key);
    const auto holders = job.holders.find(key);
    std::erase_if(members, [&](const RoutingMember* member) {
        const bool holdsAlready = holders != job.holders.end() && holders->second.contains(member->id);
        return holdsAlready || (!member->settled && !job.includeUnsettled);
    });
    // Unsettled balancers at the head of the ranking consult the first settled one, which therefore needs the records.
    const std::vector<const RoutingMember*> order = rankMembers(state, key.first, key.second);
    const auto firstSettled
        = std::find_if(order.begin(), order.end(), [](const RoutingMember* member) { return member->settled; });
    if (firstSettled != order.end() && firstSettled - order.begin() >= 2)
        members.push_back(*firstSettled);
    return members;
}

void RecordExchange::send(Job& job, const Batches& batches, MonotonicTime now, std::vector<ControlAction>& actions)
{
    job.sentAt = now;
    for (const auto& [id, records] : batches) {
        for (std::size_t first = 0; first < records.size(); first += recordsPerPush) {
            PushRecordsTo push { .peer = id, .controlEndpoint = {}, .ticket = m_nextTicket++, .request = {} };
            push.request.set_sender(m_options.self.value());
            const std::size_t last = std::min(records.size(), first + recordsPerPush);
            for (std::size_t i = first; i < last; ++i)
                *push.request.add_records() = records[i];
            job.outstanding.insert(push.ticket);
            actions.emplace_back(std::move(push));
        }
    }
}

peer::FetchRecordsResponse RecordExchange::answerFetch(
    const RoutingState& state, const peer::FetchRecordsRequest& request, MonotonicTime now) const
{
    RoutingState view;
    for (const std::string& name : request.order_members()) {
        view.members.push_back({ .id = BalancerId(name), .key = hashText(name), .relayEndpoint = {}, .settled = true });
    }
    const BalancerId requester(request.requester());
    std::set<SlotKey> requested;
    for (const SlotKey& key : unstableSlots(state)) {
        if (contains(ownerAndBackup(view, key), requester))
            requested.insert(key);
    }
    peer::FetchRecordsResponse response;
    m_flows->visit([&](const FlowEntry& flow) {
        if (flow.record.kind == FlowRecordKind::Confirmed && requested.contains(keyOf(flow.record)))
            *response.add_records() = FlowRecordCodec::toEntry(flow, now);
    });
    return response;
}

peer::PushRecordsResponse RecordExchange::answerPush(const peer::PushRecordsRequest& request, MonotonicTime now)
{
    peer::PushRecordsResponse response;
    for (const peer::FlowRecordEntry& entry : request.records()) {
        const auto flow = FlowRecordCodec::fromEntry(entry, now);
        if (!flow)
            continue;
        const MonotonicTime seen = FlowRecordCodec::lastPacket(entry, now);
        const auto result = m_flows->insert(flow->key, flow->key.hash(), flow->record, seen);
        if (result.kind == InsertResult::Kind::Full)
            response.set_refused(response.refused() + 1);
        else
            response.set_stored(response.stored() + 1);
    }
    return response;
}

bool RecordExchange::merge(const peer::FetchRecordsResponse& response, MonotonicTime now)
{
    bool allStored = true;
    for (const peer::FlowRecordEntry& entry : response.records()) {
        const auto flow = FlowRecordCodec::fromEntry(entry, now);
        if (!flow)
            continue;
        const std::uint64_t hash = flow->key.hash();
        const auto own = m_flows->find(flow->key, hash);
        const MonotonicTime seen = FlowRecordCodec::lastPacket(entry, now);
        if (own && own->kind == FlowRecordKind::Confirmed && own->target != flow->record.target) {
            const auto later = static_cast<std::int32_t>(own->lastSeenMs - FlowTable::toMilliseconds(seen));
            if (later > 0 || (later == 0 && own->target < flow->record.target))
                continue;
        }
        const InsertResult result = m_flows->assign(flow->key, hash, flow->record, seen);
        allStored = allStored && result.kind != InsertResult::Kind::Full;
    }
    return allStored;
}

void RecordExchange::dropStable(const std::set<SlotKey>& slots)
{
    if (slots.empty())
        return;
    m_flows->eraseIf([&](const FlowEntry& flow) {
        return flow.record.kind == FlowRecordKind::Confirmed && slots.contains(keyOf(flow.record));
    });
}

void RecordExchange::dropReassigned(const RoutingState& state)
{
    std::set<SlotKey> reassigned;
    for (const SlotKey& key : unstableSlots(state)) {
        // Unsettled balancers at the head of the ranking still consult the first settled one, which keeps its records.
        std::size_t needed = 0;
        bool settledSeen = false;
        bool neededHere = false;
        for (const RoutingMember* member : rankMembers(state, key.first, key.second)) {
            if (needed >= 2 && settledSeen)
                break;
            ++needed;
            settledSeen = settledSeen || member->settled;
            neededHere = neededHere || member->id == m_options.self;
        }
        if (!neededHere)
            reassigned.insert(key);
    }
    dropStable(reassigned);
}

} // namespace anvilwalk
