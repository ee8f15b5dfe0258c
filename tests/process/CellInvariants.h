#pragma once

#include "CellScenario.h"

#include <string>

namespace anvilwalk::fakes {

// Checks after each step what must hold between the balancers that route packets. Keeps the first violation.
class CellInvariants {
public:
    explicit CellInvariants(CellHarness& cell)
        : m_cell(cell)
    {
        cell.afterStep = [this] { check(); };
    }

    ~CellInvariants() { m_cell.afterStep = nullptr; }
    CellInvariants(const CellInvariants&) = delete;
    CellInvariants& operator=(const CellInvariants&) = delete;

    const std::string& violation() const { return m_violation; }
    void fail(const std::string& what)
    {
        if (m_violation.empty())
            m_violation = what;
    }
    void require(bool holds, const std::string& what)
    {
        if (!holds)
            fail(what);
    }
    // A flow with confirmed records, which its owner must keep as long as it is open.
    void track(const FlowEntry& flow) { m_flows.push_back(flow); }
    // Every tracked flow is recorded at owner and backup of its slot.
    void requireRecords();
    // All balancers that route packets have the same members.
    void requireSameMembers();

private:
    void check();
    void checkVersions(const std::vector<FakeBalancer*>& routing);
    void checkDoubts(const std::vector<FakeBalancer*>& routing);
    void checkKnown(const std::vector<FakeBalancer*>& routing);
    void checkFlows(const std::vector<FakeBalancer*>& routing);

    CellHarness& m_cell;
    std::vector<FlowEntry> m_flows;
    std::string m_violation;
};

inline void CellInvariants::check()
{
    if (!m_violation.empty())
        return;
    const std::vector<FakeBalancer*> routing = m_cell.routing();
    for (const auto& [name, balancer] : m_cell.balancers())
        require(!balancer->wentBack, name + " went back to an older table.");
    checkVersions(routing);
    checkDoubts(routing);
    checkKnown(routing);
    checkFlows(routing);
}

// A balancer that has not heard of a slot's change must not route while another treats the slot as moving. A doubt
// that it applies announces the slot as well.
inline void CellInvariants::checkVersions(const std::vector<FakeBalancer*>& routing)
{
    std::map<SlotKey, TableVersion> moving;
    for (const FakeBalancer* balancer : routing) {
        for (const auto& [service, slots] : balancer->controller->routingState()->table->services()) {
            for (const auto& [slot, exception] : slots.exceptions) {
                TableVersion& needed = moving[{ service, slot }];
                if (exception.phase == SlotPhase::Moving)
                    needed = std::max(needed, exception.announcedIn);
            }
        }
    }
    for (const FakeBalancer* balancer : routing) {
        const auto state = balancer->controller->routingState();
        for (const auto& [key, needed] : moving) {
            if (state->table->version() >= needed)
                continue;
            const ServiceSlots* slots = state->table->findService(key.first);
            require(slots && state->doubts.contains(slots->slots[key.second.value()]),
                balancer->options.self.value() + " routes by a table older than a moving slot's announcement.");
        }
    }
}

inline void CellInvariants::checkDoubts(const std::vector<FakeBalancer*>& routing)
{
    for (const FakeBalancer* balancer : routing) {
        for (const auto& [target, doubt] : balancer->controller->routingState()->doubts) {
            if (!doubt.agreed)
                continue;
            for (const FakeBalancer* other : routing) {
                const auto state = other->controller->routingState();
                const bool replaced = state->table->version() > balancer->controller->routingState()->table->version();
                require(state->doubts.contains(target) || replaced,
                    other->options.self.value() + " does not know a doubt that is in effect.");
            }
        }
    }
}

// The order of owners is complete only if each balancer that routes is known to the others.
inline void CellInvariants::checkKnown(const std::vector<FakeBalancer*>& routing)
{
    for (const FakeBalancer* balancer : routing) {
        if (balancer->controller->routingState()->selfLeaving || balancer->controller->routingState()->servesAlone)
            continue;
        for (const FakeBalancer* other : routing) {
            const auto state = other->controller->routingState();
            if (state->servesAlone)
                continue;
            require(std::any_of(state->members.begin(), state->members.end(),
                        [&](const RoutingMember& member) { return member.id == balancer->options.self; }),
                other->options.self.value() + " does not know " + balancer->options.self.value() + ", which routes.");
        }
    }
}

// A slot with a flow on an older candidate must not become stable.
inline void CellInvariants::checkFlows(const std::vector<FakeBalancer*>& routing)
{
    for (const FakeBalancer* balancer : routing) {
        const auto state = balancer->controller->routingState();
        for (const FlowEntry& flow : m_flows) {
            const ServiceSlots* slots = state->table->findService(flow.record.service);
            const bool lost = slots && !slots->findException(flow.record.slot)
                && slots->slots[flow.record.slot.value()] != flow.record.target;
            require(!lost, balancer->options.self.value() + " treats the slot of an open flow as stable.");
        }
    }
}

inline void CellInvariants::requireRecords()
{
    for (const FakeBalancer* balancer : m_cell.routing()) {
        const auto state = balancer->controller->routingState();
        for (const FlowEntry& flow : m_flows) {
            const auto order = rankMembers(*state, flow.record.service, flow.record.slot);
            for (std::size_t i = 0; i < std::min<std::size_t>(order.size(), 2); ++i) {
                const auto record = m_cell.balancer(order[i]->id.value()).flows->find(flow.key, flow.key.hash());
                require(record && record->kind == FlowRecordKind::Confirmed && record->target == flow.record.target,
                    order[i]->id.value() + (i == 0 ? ", an owner," : ", a backup,") + " lacks the record of a flow.");
            }
        }
    }
}

inline void CellInvariants::requireSameMembers()
{
    std::set<std::set<std::string>> views;
    for (const FakeBalancer* balancer : m_cell.routing()) {
        std::set<std::string> view;
        for (const RoutingMember& member : balancer->controller->routingState()->members)
            view.insert(member.id.value());
        views.insert(view);
    }
    require(views.size() <= 1, "Balancers have different members.");
}

} // namespace anvilwalk::fakes
