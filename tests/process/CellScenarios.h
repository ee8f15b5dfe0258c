#pragma once

#include "CellInvariants.h"

namespace anvilwalk::fakes {

// What the scenarios have in common: a data centre with some balancers, one service and 14 targets.
class CellRun {
public:
    CellRun(std::uint64_t seed, const CellTestSwitches& switches)
        : cell(seed)
        , invariants(cell)
    {
        cell.defaults.testSwitches = switches;
        cell.publish({ dispatchService() });
        vms = targetVms(14);
        cell.setVmList(vms);
    }

    void startBalancers(std::size_t count)
    {
        for (std::size_t i = 1; i <= count; ++i) {
            cell.start("b" + std::to_string(i));
            cell.run(std::chrono::milliseconds(cell.random(300)));
        }
        const auto settled = [&] { return cell.allSettled() && cell.allShow(TableVersion(1)); };
        invariants.require(cell.runUntil(settled, std::chrono::seconds(20)), "The balancers did not settle.");
        cell.run(std::chrono::seconds(2));
    }

    TargetId targetId(std::uint32_t number) const
    {
        const auto table = cell.newestTable();
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
        const auto table = cell.newestTable();
        const auto& slots = table->findService(ServiceId(1))->slots;
        return static_cast<std::size_t>(std::count(slots.begin(), slots.end(), target));
    }

    bool anyIn(SlotPhase phase) const
    {
        const auto table = cell.newestTable();
        const auto& exceptions = table->findService(ServiceId(1))->exceptions;
        return std::any_of(
            exceptions.begin(), exceptions.end(), [&](const auto& entry) { return entry.second.phase == phase; });
    }

    void drain(std::uint32_t number)
    {
        vms[number - 1].leaving = true;
        cell.setVmList(vms);
    }

    // Waits until every slot of a target moves away at all balancers.
    void requireDrained(std::uint32_t number, std::chrono::milliseconds limit = std::chrono::seconds(20))
    {
        const TargetId target = targetId(number);
        // The table forgets a target only when it has no slots left.
        const auto gone = [&] {
            return cell.newestTable() && slotsOf(target) == 0 && !anyIn(SlotPhase::Announced)
                && cell.allShow(cell.newestTable()->version());
        };
        if (!cell.runUntil(gone, limit))
            invariants.fail("A leaving target kept " + std::to_string(slotsOf(target)) + " slots.");
    }

    // Waits until no slot is announced or moving any more.
    void requireStable(std::chrono::milliseconds limit = std::chrono::seconds(60))
    {
        const auto stable = [&] {
            return cell.newestTable()->findService(ServiceId(1))->exceptions.empty()
                && cell.allShow(cell.newestTable()->version());
        };
        invariants.require(cell.runUntil(stable, limit), "Slots did not become stable.");
    }

    // Names of the present writer and of another balancer.
    std::string writer()
    {
        cell.runUntil([&] { return cell.writer() != nullptr; }, std::chrono::seconds(20));
        invariants.require(cell.writer() != nullptr, "No balancer writes tables.");
        return cell.writer() ? cell.writer()->options.self.value() : "b1";
    }
    std::string other()
    {
        const std::string name = writer();
        std::vector<std::string> others;
        for (const auto& [id, balancer] : cell.balancers()) {
            if (balancer->alive && id != name)
                others.push_back(id);
        }
        return others[cell.random(others.size())];
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

    // Flows in slots that are not stable, on the oldest candidate, recorded at owner and backup.
    std::size_t openFlows(std::uint32_t count)
    {
        std::size_t opened = 0;
        const auto state = cell.balancer(writer()).controller->routingState();
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
                cell.balancer(order[i]->id.value()).flows->assign(flow.key, flow.key.hash(), flow.record, cell.now());
            invariants.track(flow);
            ++opened;
        }
        invariants.require(opened > 0, "No flow was opened.");
        return opened;
    }

    void finish()
    {
        invariants.requireSameMembers();
        invariants.require(!cell.routing().empty(), "No balancer routes packets.");
    }

    CellHarness cell;
    CellInvariants invariants;
    std::vector<VmEntry> vms;
};

// A fault or a planned change, run under the invariants.
struct CellScenario {
    const char* name;
    std::function<void(CellRun&)> run;
    // Switches off a mechanism without which the scenario must fail for some seed; null if there is none.
    std::function<void(CellTestSwitches&)> breakIt;
};

const std::vector<CellScenario>& cellScenarios();

} // namespace anvilwalk::fakes
