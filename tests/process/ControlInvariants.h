#pragma once

#include "ControlScenario.h"

#include <string>

namespace anvilwalk::fakes {

// Checks the invariants between routing balancers after each step. Keeps the first violation.
class ControlInvariants {
public:
    explicit ControlInvariants(ControlHarness& harness)
        : m_harness(harness)
    {
        harness.afterStep = [this] { check(); };
    }

    ~ControlInvariants() { m_harness.afterStep = nullptr; }
    ControlInvariants(const ControlInvariants&) = delete;
    ControlInvariants& operator=(const ControlInvariants&) = delete;

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
    // Adds an open flow with confirmed records, which its owner must keep.
    void track(const FlowEntry& flow) { m_flows.push_back(flow); }
    // Requires that every tracked flow is recorded at the owner and the backup of its slot.
    void requireRecords();
    // Requires that all routing balancers have the same members.
    void requireSameMembers();

private:
    void check();
    void checkVersions(const std::vector<FakeBalancer*>& routing);
    void checkDoubts(const std::vector<FakeBalancer*>& routing);
    void checkKnown(const std::vector<FakeBalancer*>& routing);
    void checkFlows(const std::vector<FakeBalancer*>& routing);

    ControlHarness& m_harness;
    std::vector<FlowEntry> m_flows;
    std::string m_violation;
};

inline void ControlInvariants::check()
{
    if (!m_violation.empty())
        return;
    const std::vector<FakeBalancer*> routing = m_harness.routing();
    for (const auto& [name, balancer] : m_harness.balancers())
        require(!balancer->tableRegressed, name + " applied an older table.");
    checkVersions(routing);
    checkDoubts(routing);
    checkKnown(routing);
    checkFlows(routing);
}

// A balancer that does not know of a slot's announcement must not route while another treats the slot as moving. An
// applied doubt announces the slot as well.
inline void ControlInvariants::checkVersions(const std::vector<FakeBalancer*>& routing)
{
    std::map<SlotKey, TableVersion> moving;
    for (const FakeBalancer* balancer : routing) {
        for (const auto& [service, slots] : balancer->controlPlane->routingState()->table->services()) {
            for (const auto& [slot, exception] : slots.exceptions) {
                TableVersion& needed = moving[{ service, slot }];
                if (exception.phase == SlotPhase::Moving)
                    needed = std::max(needed, exception.announcedIn);
            }
        }
    }
    for (const FakeBalancer* balancer : routing) {
        const auto state = balancer->controlPlane->routingState();
        for (const auto& [key, needed] : moving) {
            if (state->table->version() >= needed)
                continue;
            const ServiceSlots* slots = state->table->findService(key.first);
            require(slots && state->doubts.contains(slots->slots[key.second.value()]),
                balancer->options.self.value() + " routes by a table older than a moving slot's announcement.");
        }
    }
}

inline void ControlInvariants::checkDoubts(const std::vector<FakeBalancer*>& routing)
{
    for (const FakeBalancer* balancer : routing) {
        for (const auto& [target, doubt] : balancer->controlPlane->routingState()->doubts) {
            if (!doubt.agreed)
                continue;
            for (const FakeBalancer* other : routing) {
                const auto state = other->controlPlane->routingState();
                const bool replaced
                    = state->table->version() > balancer->controlPlane->routingState()->table->version();
                require(state->doubts.contains(target) || replaced,
                    other->options.self.value() + " does not know a doubt that is in effect.");
            }
        }
    }
}

// Balancers agree on the owner order only if each routing balancer is known to the others.
inline void ControlInvariants::checkKnown(const std::vector<FakeBalancer*>& routing)
{
    for (const FakeBalancer* balancer : routing) {
        if (balancer->controlPlane->routingState()->selfLeaving || balancer->controlPlane->routingState()->servesAlone)
            continue;
        for (const FakeBalancer* other : routing) {
            const auto state = other->controlPlane->routingState();
            if (state->servesAlone)
                continue;
            require(std::any_of(state->members.begin(), state->members.end(),
                        [&](const RoutingMember& member) { return member.id == balancer->options.self; }),
                other->options.self.value() + " does not know " + balancer->options.self.value() + ", which routes.");
        }
    }
}

// A slot with a flow on an older candidate must not become stable.
inline void ControlInvariants::checkFlows(const std::vector<FakeBalancer*>& routing)
{
    for (const FakeBalancer* balancer : routing) {
        const auto state = balancer->controlPlane->routingState();
        for (const FlowEntry& flow : m_flows) {
            const ServiceSlots* slots = state->table->findService(flow.record.service);
            const bool lost = slots && !slots->findException(flow.record.slot)
                && slots->slots[flow.record.slot.value()] != flow.record.target;
            require(!lost, balancer->options.self.value() + " treats the slot of an open flow as stable.");
        }
    }
}

inline void ControlInvariants::requireRecords()
{
    for (const FakeBalancer* balancer : m_harness.routing()) {
        const auto state = balancer->controlPlane->routingState();
        for (const FlowEntry& flow : m_flows) {
            const auto order = rankMembers(*state, flow.record.service, flow.record.slot);
            for (std::size_t i = 0; i < std::min<std::size_t>(order.size(), 2); ++i) {
                const auto record = m_harness.balancer(order[i]->id.value()).flows->find(flow.key, flow.key.hash());
                require(record && record->kind == FlowRecordKind::Confirmed && record->target == flow.record.target,
                    order[i]->id.value() + (i == 0 ? ", an owner," : ", a backup,") + " lacks the record of a flow.");
            }
        }
    }
}

inline void ControlInvariants::requireSameMembers()
{
    std::set<std::set<std::string>> views;
    for (const FakeBalancer* balancer : m_harness.routing()) {
        std::set<std::string> view;
        for (const RoutingMember& member : balancer->controlPlane->routingState()->members)
            view.insert(member.id.value());
        views.insert(view);
    }
    require(views.size() <= 1, "Balancers have different members.");
}

} // namespace anvilwalk::fakes
