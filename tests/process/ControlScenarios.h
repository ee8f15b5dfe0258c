#pragma once

#include "ControlInvariants.h"

namespace anvilwalk::fakes {

// Common setup of the scenarios: a data centre with several balancers, one service and 14 targets.
class ScenarioRun {
public:
    ScenarioRun(std::uint64_t seed, const ControlTestSwitches& switches)
        : harness(seed)
        , invariants(harness)
    {
        harness.defaults.testSwitches = switches;
        harness.publish({ dispatchService() });
        vms = targetVms(14);
        harness.setVmList(vms);
    }

    void startBalancers(std::size_t count)
    {
        for (std::size_t i = 1; i <= count; ++i) {
            harness.start("b" + std::to_string(i));
            harness.run(std::chrono::milliseconds(harness.random(300)));
        }
        const auto settled = [&] { return harness.allSettled() && harness.allApplied(TableVersion(1)); };
        invariants.require(harness.runUntil(settled, std::chrono::seconds(20)), "The balancers did not settle.");
        harness.run(std::chrono::seconds(2));
    }

    TargetId targetId(std::uint32_t number) const
    {
        const auto table = harness.newestTable();
        if (!table)
            return {};
        for (const auto& [id, target] : table->findService(ServiceId(1))->targets) {
            if (target.host == targetVm(number).name)
                return id;
        }
        return {};
    }

    std::size_t slotsOf(TargetId target) const
    {
        const auto table = harness.newestTable();
        const auto& slots = table->findService(ServiceId(1))->slots;
        return static_cast<std::size_t>(std::count(slots.begin(), slots.end(), target));
    }

    bool anyIn(SlotPhase phase) const
    {
        const auto table = harness.newestTable();
        const auto& exceptions = table->findService(ServiceId(1))->exceptions;
        return std::any_of(
            exceptions.begin(), exceptions.end(), [&](const auto& entry) { return entry.second.phase == phase; });
    }

    void drain(std::uint32_t number)
    {
        vms[number - 1].leaving = true;
        harness.setVmList(vms);
    }

    // Waits until all balancers have moved every slot of a target away.
    void requireDrained(std::uint32_t number, std::chrono::milliseconds limit = std::chrono::seconds(20))
    {
        const TargetId target = targetId(number);
        // A target is removed from the table only when it has no slots left.
        const auto gone = [&] {
            return harness.newestTable() && slotsOf(target) == 0 && !anyIn(SlotPhase::Announced)
                && harness.allApplied(harness.newestTable()->version());
        };
        if (!harness.runUntil(gone, limit))
            invariants.fail("A leaving target kept " + std::to_string(slotsOf(target)) + " slots.");
    }

    // Waits until no slot is announced or moving.
    void requireStable(std::chrono::milliseconds limit = std::chrono::seconds(60))
    {
        const auto stable = [&] {
            return harness.newestTable()->findService(ServiceId(1))->exceptions.empty()
                && harness.allApplied(harness.newestTable()->version());
        };
        invariants.require(harness.runUntil(stable, limit), "Slots did not become stable.");
    }

    // Names of the current writer and of a random other balancer.
    std::string writer()
    {
        harness.runUntil([&] { return harness.writer() != nullptr; }, std::chrono::seconds(20));
        invariants.require(harness.writer() != nullptr, "No balancer writes tables.");
        return harness.writer() ? harness.writer()->options.self.value() : "b1";
    }
    std::string other()
    {
        const std::string name = writer();
        std::vector<std::string> others;
        for (const auto& [id, balancer] : harness.balancers()) {
            if (balancer->alive && id != name)
                others.push_back(id);
        }
        return others[harness.random(others.size())];
    }

    static FlowEntry flowOf(std::uint32_t number)
    {
        FlowEntry flow;
        flow.key = { .source = { 0x0a100000 + number },
            .destination = { 0xcb007101 },
            .sourcePort = 4000,
            .destinationPort = 443,
            .protocol = Protocol::Tcp };
        flow.record.service = ServiceId(1);
        flow.record.slot = slotOf(flow.key.hash());
        return flow;
    }

    // Opens flows on the oldest candidate of unstable slots and records them at owner and backup.
    std::size_t openFlows(std::uint32_t count)
    {
        std::size_t opened = 0;
        const auto state = harness.balancer(writer()).controlPlane->routingState();
        const auto* slots = state->table->findService(ServiceId(1));
        for (std::uint32_t number = 0; number < count; ++number) {
            FlowEntry flow = flowOf(number);
            const SlotException* exception = slots->findException(flow.record.slot);
            if (!exception)
                continue;
            flow.record.target = exception->candidates.front();
            flow.record.kind = FlowRecordKind::Confirmed;
            const auto order = rankMembers(*state, ServiceId(1), flow.record.slot);
            for (std::size_t i = 0; i < std::min<std::size_t>(order.size(), 2); ++i)
                harness.balancer(order[i]->id.value())
                    .flows->assign(flow.key, flow.key.hash(), flow.record, harness.now());
            invariants.track(flow);
            ++opened;
        }
        invariants.require(opened > 0, "No flow was opened.");
        return opened;
    }

    void finish()
    {
        invariants.requireSameMembers();
        invariants.require(!harness.routing().empty(), "No balancer routes packets.");
    }

    ControlHarness harness;
    ControlInvariants invariants;
    std::vector<VmEntry> vms;
};

// A fault or planned change during which the invariants are checked.
struct ControlScenario {
    const char* name;
    std::function<void(ScenarioRun&)> run;
    // Disables the mechanism without which the scenario must fail for at least one seed. May be null.
    std::function<void(ControlTestSwitches&)> disableMechanism;
};

const std::vector<ControlScenario>& controlScenarios();

} // namespace anvilwalk::fakes
