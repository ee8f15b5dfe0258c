#include "ServicePlan.h"

#include <algorithm>
#include <array>

namespace anvilwalk {

namespace {

    // Order in which surplus slots are taken, so that they are spread over the table.
    std::uint64_t slotRank(ServiceId service, SlotIndex slot)
    {
        const std::array<std::uint32_t, 2> words { service.value(), slot.value() };
        return hashBytes(words.data(), sizeof(words));
    }

} // namespace

ServicePlan::ServicePlan(const TablePlannerOptions& options, const PlannerInput& input, ServiceId service,
    const ServiceSlots* current, TableVersion nextVersion, std::uint32_t& nextTargetId)
    : m_options(options)
    , m_input(input)
    , m_service(service)
    , m_nextVersion(nextVersion)
    , m_nextTargetId(nextTargetId)
    , m_current(current)
    , m_isNew(!current || current->slots.empty())
    , m_changed(!current)
{
    if (current)
        m_slots = *current;
}

bool ServicePlan::run()
{
    mergeTargets();
    suspectDoubts();
    setWeights();
    advancePhases();
    moveAgreedDoubts();
    rebalance();
    dropUnusedTargets();
    return m_changed;
}

void ServicePlan::mergeTargets()
{
    for (const KnownTarget& known : m_input.targets) {
        if (known.service != m_service)
            continue;
        const auto found = std::find_if(m_slots.targets.begin(), m_slots.targets.end(),
            [&](const auto& entry) { return entry.second.host == known.host && entry.second.tunnel == known.tunnel; });
        if (found == m_slots.targets.end()) {
            addTarget(known);
            continue;
        }
        TableTarget& target = found->second;
        m_known.insert(target.id);
        m_wantedWeights[target.id] = known.weight;
        noteHealth(target.id, known);
        if (target.leaving != known.leaving || target.healthUrl != known.healthUrl)
            m_changed = true;
        target.leaving = known.leaving;
        target.healthUrl = known.healthUrl;
    }
    for (auto& [id, target] : m_slots.targets) {
        if (m_known.contains(id) || target.leaving)
            continue;
        target.leaving = true;
        m_changed = true;
    }
}

void ServicePlan::addTarget(const KnownTarget& known)
{
    // A target that is leaving when first seen never takes part.
    if (known.leaving)
        return;
    const TargetId id(m_nextTargetId++);
    m_slots.targets.emplace(id,
        TableTarget { .id = id,
            .host = known.host,
            .tunnel = known.tunnel,
            .healthUrl = known.healthUrl,
            .leaving = false,
            .weight = m_isNew ? known.weight : 0 });
    m_known.insert(id);
    m_wantedWeights[id] = known.weight;
    noteHealth(id, known);
    m_changed = true;
}

void ServicePlan::noteHealth(TargetId id, const KnownTarget& known)
{
    if (known.doubted)
        m_doubted.insert(id);
    if (known.doubted || known.suspected)
        m_suspected.insert(id);
}

// If more than half of the targets look bad, the measurement is more likely wrong than the targets.
void ServicePlan::suspectDoubts()
{
    const auto staying = std::count_if(
        m_slots.targets.begin(), m_slots.targets.end(), [](const auto& entry) { return !entry.second.leaving; });
    const auto bad = std::count_if(
        m_suspected.begin(), m_suspected.end(), [&](TargetId id) { return !m_slots.targets.at(id).leaving; });
    if (bad * 2 > staying && !m_options.removeAnyNumber)
        m_doubted.clear();
}

void ServicePlan::setWeights()
{
    for (auto& [id, target] : m_slots.targets) {
        const bool out = target.leaving || isDoubted(id);
        const std::uint32_t weight = out ? 0 : nextWeight(target, m_wantedWeights[id]);
        if (weight == target.weight)
            continue;
        target.weight = weight;
        m_changed = true;
    }
}

std::uint32_t ServicePlan::nextWeight(const TableTarget& target, std::uint32_t wanted) const
{
    if (m_isNew)
        return wanted;
    const bool mayStep = m_input.mayStepWeights || target.weight == 0;
    const std::uint32_t difference = target.weight > wanted ? target.weight - wanted : wanted - target.weight;
    if (!mayStep || (difference <= m_options.weightTolerance && wanted != 1000))
        return target.weight;
    const std::uint32_t step = std::min(difference, m_options.maxWeightStep);
    return target.weight > wanted ? target.weight - step : target.weight + step;
}

void ServicePlan::advancePhases()
{
    for (auto entry = m_slots.exceptions.begin(); entry != m_slots.exceptions.end();) {
        const auto current = entry++;
        if (advance(current->first, current->second))
            m_slots.exceptions.erase(current);
    }
}

// Returns true if the slot becomes stable.
bool ServicePlan::advance(SlotIndex slot, SlotException& exception)
{
    if (exception.phase == SlotPhase::Announced) {
        const bool echoed = m_input.echoedByAll >= exception.announcedIn || m_options.applyWithoutEcho;
        if (!echoed || m_input.sinceAnnounced(m_service, slot) < m_options.announceHold)
            return false;
        exception.phase = SlotPhase::Moving;
        m_changed = true;
        return false;
    }
    // Only the newest candidate is left. The slot becomes stable when every balancer has this version.
    if (exception.candidates.size() == 1) {
        const bool echoed = m_input.echoedByAll.value() + 1 >= m_nextVersion.value() || m_options.applyWithoutEcho;
        m_changed = m_changed || echoed;
        return echoed;
    }
    const ServiceConfig* config = m_input.config->findById(m_service);
    if (!config || m_input.sinceMoving(m_service, slot) <= config->idleDeadline)
        return false;
    if (!m_input.clearOfOlderRecords(m_service, slot) && !m_options.settleWithRecords)
        return false;
    // A balancer with a stable slot makes no records. An owner that still had older candidates would send the
    // flows that this balancer opens to the oldest of them.
    exception.candidates = { exception.candidates.back() };
    m_changed = true;
    return false;
}

// Openings of these slots go to the fallback already, so that the slots continue as moving ones. The balancers chose
// the fallback by the current table.
void ServicePlan::moveAgreedDoubts()
{
    if (m_input.agreedDoubts.empty() || m_isNew)
        return;
    const auto isDoubtedNow
        = [&](TargetId id) { return m_input.appliedDoubts.contains(id) || m_input.agreedDoubts.contains(id); };
    for (std::size_t index = 0; index < m_current->slots.size(); ++index) {
        const SlotIndex slot(static_cast<std::uint16_t>(index));
        if (!m_input.agreedDoubts.contains(m_current->slots[index]))
            continue;
        const TargetId fallback = doubtFallback(*m_current, m_service, slot, isDoubtedNow);
        if (fallback != TargetId())
            appendCandidate(slot, fallback, SlotPhase::Moving);
    }
}

std::vector<TargetId> ServicePlan::eligibleTargets() const
{
    std::vector<TargetId> eligible;
    std::vector<TargetId> staying;
    for (const auto& [id, target] : m_slots.targets) {
        if (target.leaving)
            continue;
        staying.push_back(id);
        if (!isDoubted(id))
            eligible.push_back(id);
    }
    if (eligible.empty())
        eligible = staying;
    std::sort(eligible.begin(), eligible.end());
    return eligible;
}

// Slots of each target in proportion to its weight, by largest remainder. Ties go to the target that has more
// slots now, so that equal weights cause no moves.
std::map<TargetId, std::size_t> ServicePlan::wantedSlots(const std::vector<TargetId>& eligible) const
{
    std::map<TargetId, std::size_t> held;
    for (const TargetId target : m_slots.slots)
        ++held[target];
    std::uint64_t total = 0;
    for (const TargetId id : eligible)
        total += m_slots.targets.at(id).weight;
    const bool equal = total == 0;
    if (equal)
        total = eligible.size();
    std::map<TargetId, std::size_t> wanted;
    std::vector<std::tuple<std::uint64_t, std::size_t, TargetId>> remainders;
    std::size_t given = 0;
    for (const TargetId id : eligible) {
        const std::uint64_t share = (equal ? 1 : m_slots.targets.at(id).weight) * std::uint64_t(slotsPerService);
        wanted[id] = share / total;
        given += wanted[id];
        remainders.emplace_back(share % total, held[id], id);
    }
    std::sort(remainders.rbegin(), remainders.rend());
    for (std::size_t i = 0; given < slotsPerService; ++i, ++given)
        ++wanted[std::get<2>(remainders[i % remainders.size()])];
    return wanted;
}

void ServicePlan::rebalance()
{
    const std::vector<TargetId> eligible = eligibleTargets();
    if (eligible.empty())
        return;
    const std::map<TargetId, std::size_t> wanted = wantedSlots(eligible);
    if (m_isNew) {
        fillNewService(wanted);
        return;
    }
    std::map<TargetId, std::size_t> missing = wanted;
    for (const TargetId target : m_slots.slots) {
        const auto found = missing.find(target);
        if (found != missing.end() && found->second > 0)
            --found->second;
    }
    auto next = missing.begin();
    for (const SlotIndex slot : slotsToMove(wanted)) {
        // Receivers in turn, so that a limit on what can move now affects all of them alike.
        for (std::size_t tried = 0; next->second == 0 && tried < missing.size(); ++tried)
            next = std::next(next) == missing.end() ? missing.begin() : std::next(next);
        if (next->second == 0)
            return;
        --next->second;
        appendCandidate(slot, next->first, SlotPhase::Announced);
        next = std::next(next) == missing.end() ? missing.begin() : std::next(next);
    }
}

// Slots of targets that hold more than they should and that may take a further candidate.
std::vector<SlotIndex> ServicePlan::slotsToMove(const std::map<TargetId, std::size_t>& wanted) const
{
    std::vector<std::tuple<bool, std::uint64_t, SlotIndex>> order;
    for (std::uint16_t index = 0; index < slotsPerService; ++index) {
        const SlotException* exception = m_slots.findException(SlotIndex(index));
        if (exception && exception->candidates.size() >= maxSlotCandidates)
            continue;
        order.emplace_back(exception != nullptr, slotRank(m_service, SlotIndex(index)), SlotIndex(index));
    }
    // Stable slots move first, because each further candidate of a slot keeps its older records longer.
    std::sort(order.begin(), order.end());
    std::map<TargetId, std::size_t> surplus;
    for (const TargetId target : m_slots.slots)
        ++surplus[target];
    for (const auto& [id, count] : wanted)
        surplus[id] = surplus[id] > count ? surplus[id] - count : 0;
    std::vector<SlotIndex> moves;
    for (const auto& [isException, rank, slot] : order) {
        std::size_t& left = surplus[m_slots.slots[slot.value()]];
        if (left == 0)
            continue;
        --left;
        moves.push_back(slot);
    }
    return moves;
}

void ServicePlan::fillNewService(const std::map<TargetId, std::size_t>& wanted)
{
    std::vector<SlotIndex> order;
    for (std::uint16_t index = 0; index < slotsPerService; ++index)
        order.emplace_back(index);
    std::sort(order.begin(), order.end(), [&](SlotIndex a, SlotIndex b) {
        return std::pair(slotRank(m_service, a), a) < std::pair(slotRank(m_service, b), b);
    });
    m_slots.slots.assign(slotsPerService, TargetId());
    auto slot = order.begin();
    for (const auto& [id, count] : wanted) {
        for (std::size_t i = 0; i < count; ++i)
            m_slots.slots[(slot++)->value()] = id;
    }
    m_changed = true;
}

void ServicePlan::appendCandidate(SlotIndex slot, TargetId target, SlotPhase phase)
{
    SlotException& exception = m_slots.exceptions[slot];
    if (exception.candidates.size() >= maxSlotCandidates)
        return;
    if (exception.candidates.empty())
        exception.candidates.push_back(m_slots.slots[slot.value()]);
    exception.candidates.push_back(target);
    exception.phase = phase;
    exception.announcedIn = m_nextVersion;
    m_slots.slots[slot.value()] = target;
    m_changed = true;
}

void ServicePlan::dropUnusedTargets()
{
    absl::flat_hash_set<TargetId> used(m_slots.slots.begin(), m_slots.slots.end());
    for (const auto& [slot, exception] : m_slots.exceptions)
        used.insert(exception.candidates.begin(), exception.candidates.end());
    for (auto entry = m_slots.targets.begin(); entry != m_slots.targets.end();) {
        const auto current = entry++;
        if (m_known.contains(current->first) || used.contains(current->first))
            continue;
        m_slots.targets.erase(current);
        m_changed = true;
    }
}

table::ServiceTable ServicePlan::message() const
{
    table::ServiceTable message;
    message.set_service(m_service.value());
    for (const TargetId target : m_slots.slots)
        message.add_slots(target.value());
    const std::map<SlotIndex, SlotException> exceptions(m_slots.exceptions.begin(), m_slots.exceptions.end());
    for (const auto& [slot, exception] : exceptions) {
        table::SlotException& entry = *message.add_exceptions();
        entry.set_slot(slot.value());
        entry.set_phase(exception.phase == SlotPhase::Moving ? table::SLOT_PHASE_MOVING : table::SLOT_PHASE_ANNOUNCED);
        for (const TargetId candidate : exception.candidates)
            entry.add_candidates(candidate.value());
        entry.set_announced_in(exception.announcedIn.value());
    }
    const std::map<TargetId, TableTarget> targets(m_slots.targets.begin(), m_slots.targets.end());
    for (const auto& [id, target] : targets) {
        table::TargetEntry& entry = *message.add_targets();
        entry.set_id(id.value());
        entry.set_host(target.host);
        entry.set_tunnel_address(target.tunnel.toString());
        entry.set_leaving(target.leaving);
        entry.set_health_url(target.healthUrl);
        entry.set_weight(target.weight);
    }
    return message;
}

} // namespace anvilwalk
