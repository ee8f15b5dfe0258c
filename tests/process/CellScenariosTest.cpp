#include "CellScenarios.h"

using namespace std::chrono_literals;

namespace anvilwalk::fakes {

namespace {

    void joinDuringDrain(CellRun& run)
    {
        run.startBalancers(3);
        run.drain(3);
        run.cell.run(std::chrono::milliseconds(run.cell.random(1500)));
        run.cell.start("joiner");
        run.requireDrained(3);
        run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
        run.requireStable();
    }

    // One peer hears of the joiner only from another.
    void joinBehindCut(CellRun& run)
    {
        run.startBalancers(3);
        run.cell.cut("joiner", "b1");
        run.cell.start("joiner");
        run.cell.run(10s);
        run.cell.healAll();
        run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
    }

    void joinTakesRecords(CellRun& run)
    {
        run.startBalancers(2);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.cell.start("joiner");
        run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
        run.invariants.requireRecords();
    }

    void simultaneousJoins(CellRun& run)
    {
        run.startBalancers(2);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        for (const char* name : { "j1", "j2", "j3" })
            run.cell.start(name);
        run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
        run.cell.run(2s);
        run.invariants.requireRecords();
    }

    void leaveDuringDrain(CellRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        const std::string leaver = run.cell.random(2) == 0 ? run.writer() : run.other();
        run.drain(4);
        FakeBalancer& balancer = run.cell.balancer(leaver);
        balancer.controller->requestStop(run.cell.now());
        const auto done = [&] { return balancer.controller->stopComplete(run.cell.now()); };
        run.invariants.require(run.cell.runUntil(done, 10s), "The stop did not complete.");
        run.cell.kill(leaver);
        run.invariants.requireRecords();
        run.cell.run(3s);
        run.invariants.requireRecords();
        run.requireDrained(4);
    }

    void deathOfOwner(CellRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.cell.kill(run.cell.random(2) == 0 ? run.writer() : run.other());
        run.cell.run(4s);
        run.invariants.requireRecords();
        run.drain(4);
        run.requireDrained(4);
    }

    // A pause shorter than the fence: the balancer wakes with an old table that still counts.
    void shortPauseDuringDrain(CellRun& run)
    {
        run.startBalancers(3);
        const std::string name = run.other();
        run.cell.pause(name);
        run.drain(3);
        run.cell.run(1450ms);
        run.cell.resume(name);
        run.requireDrained(3);
    }

    // One balancer learns of new tables long after the others.
    void unevenUpdates(CellRun& run)
    {
        run.startBalancers(4);
        for (const auto& [name, balancer] : run.cell.balancers()) {
            if (!balancer->watching)
                balancer->fetchDelay = std::chrono::milliseconds(1200 + run.cell.random(1500));
        }
        run.drain(3);
        run.requireDrained(3);
        run.drain(4);
        run.requireDrained(4);
    }

    void pauseAndWake(CellRun& run)
    {
        run.startBalancers(3);
        const std::string name = run.cell.random(2) == 0 ? run.writer() : run.other();
        run.cell.pause(name);
        run.drain(3);
        run.cell.run(std::chrono::milliseconds(4000 + run.cell.random(8000)));
        run.cell.resume(name);
        run.requireDrained(3);
        run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
        run.requireStable();
    }

    // The paused writer had a plan under way; its lease lapses and another writes.
    void writerPausedPastLease(CellRun& run)
    {
        run.startBalancers(3);
        const std::string name = run.writer();
        run.drain(3);
        run.cell.run(std::chrono::milliseconds(run.cell.random(60)));
        run.cell.pause(name);
        run.cell.run(8s);
        run.drain(4);
        run.cell.run(std::chrono::milliseconds(run.cell.random(1500)));
        run.cell.resume(name);
        run.requireDrained(3);
        run.requireDrained(4);
    }

    void twoWriters(CellRun& run)
    {
        run.startBalancers(3);
        run.cell.store.behaviour.conflicts = 2;
        run.drain(3);
        run.requireDrained(3);
    }

    void answersLost(CellRun& run)
    {
        run.startBalancers(3);
        run.cell.store.behaviour.lostAnswers = 3;
        run.drain(3);
        run.requireDrained(3);
        run.requireStable();
    }

    void storeSlow(CellRun& run)
    {
        run.startBalancers(3);
        run.cell.store.behaviour.least = 300ms;
        run.cell.store.behaviour.most = 900ms;
        run.drain(3);
        run.requireDrained(3, 40s);
    }

    TargetReport report(TargetId target, bool healthy)
    {
        return { .target = target, .reachable = true, .healthy = healthy };
    }

    std::size_t balancersWithAgreedDoubt(CellRun& run, TargetId target)
    {
        std::size_t count = 0;
        for (const FakeBalancer* balancer : run.cell.routing()) {
            const auto state = balancer->controller->routingState();
            const auto found = state->doubts.find(target);
            count += found != state->doubts.end() && found->second.agreed ? 1 : 0;
        }
        return count;
    }

    void storeDownTargetDies(CellRun& run)
    {
        run.startBalancers(3);
        run.cell.store.behaviour.down = true;
        run.cell.run(5s);
        const TargetId target = run.targetId(3);
        // Only some balancers see the target fail at first.
        run.cell.setReport(report(target, false));
        const auto agreed = [&] { return balancersWithAgreedDoubt(run, target) == 3; };
        run.invariants.require(run.cell.runUntil(agreed, 15s), "The doubt was not agreed.");
        run.cell.start("joiner");
        run.cell.run(10s);
        run.invariants.require(balancersWithAgreedDoubt(run, target) == 4, "The joiner does not apply the doubt.");
        run.cell.store.behaviour.down = false;
        run.requireDrained(3);
        run.cell.run(2s);
        run.invariants.require(balancersWithAgreedDoubt(run, target) == 0, "The table did not replace the doubt.");
    }

    void storeDownLong(CellRun& run)
    {
        run.startBalancers(3);
        run.cell.store.behaviour.down = true;
        run.cell.run(120s);
        run.invariants.require(run.cell.routing().size() == 3, "A balancer stopped while the store was down.");
        run.cell.start("joiner");
        run.cell.run(10s);
        run.invariants.require(run.cell.routing().size() == 4, "A balancer did not join while the store was down.");
        run.drain(3);
        run.cell.store.behaviour.down = false;
        run.requireDrained(3);
    }

    void partialCut(CellRun& run)
    {
        run.startBalancers(4);
        const std::string writer = run.writer();
        const std::string name = run.other();
        run.cell.cut(writer, name);
        run.drain(3);
        run.cell.run(6s);
        run.invariants.requireSameMembers();
        run.requireDrained(3);
        run.cell.healAll();
        run.cell.run(3s);
    }

    void cutOffAlone(CellRun& run)
    {
        run.startBalancers(3);
        const std::string name = run.cell.random(2) == 0 ? run.writer() : run.other();
        run.cell.cutOff(name);
        run.drain(3);
        run.cell.run(5s);
        FakeBalancer& lone = run.cell.balancer(name);
        run.invariants.require(!lone.controller->ready(run.cell.now()), "A balancer that is cut off counts as ready.");
        run.cell.healAll();
        run.requireDrained(3);
        run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
    }

    void drainInTwoSteps(CellRun& run)
    {
        run.startBalancers(3);
        const std::size_t before = run.cell.store.written.size();
        run.drain(3);
        const MonotonicTime start = run.cell.now();
        run.requireDrained(3);
        run.invariants.require(run.cell.now() - start <= 3s, "The target got new work for more than 3 s.");
        const auto& written = run.cell.store.written;
        const auto& announced = written.at(before).services(0);
        const auto& moving = written.at(before + 1).services(0);
        run.invariants.require(announced.exceptions_size() > 0, "The drain was not announced.");
        for (const auto& exception : announced.exceptions())
            run.invariants.require(exception.phase() == table::SLOT_PHASE_ANNOUNCED, "A slot moved at once.");
        for (const auto& exception : moving.exceptions())
            run.invariants.require(exception.phase() == table::SLOT_PHASE_MOVING, "The second step moved nothing.");
        run.requireStable();
        const auto table = run.cell.newestTable();
        run.invariants.require(table->message().next_target_id() == 15, "A target id was used again.");
    }

    void drainKeepsOpenFlows(CellRun& run)
    {
        run.startBalancers(3);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(200);
        run.cell.run(20s);
        run.invariants.require(!run.cell.newestTable()->findService(ServiceId(1))->exceptions.empty(),
            "Slots of open flows became stable.");
    }

    // A flow opened just before the change is known to the owner before any slot moves.
    void recentOpeningsHandedIn(CellRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(3);
        const auto table = run.cell.newestTable();
        std::vector<FlowEntry> flows;
        for (std::uint32_t number = 0; number < 400; ++number) {
            FlowEntry flow = CellRun::flowOf(number);
            if (table->findService(ServiceId(1))->slots[flow.record.slot.value()] != target)
                continue;
            flow.record.target = target;
            flow.record.openedMs = FlowTable::toMilliseconds(run.cell.now());
            const std::string name = "b" + std::to_string(1 + number % 3);
            run.cell.balancer(name).flows->insert(flow.key, flow.key.hash(), flow.record, run.cell.now());
            run.invariants.track(flow);
        }
        run.drain(3);
        run.cell.runUntil([&] { return run.anyIn(SlotPhase::Moving); }, 10s);
        run.invariants.requireRecords();
    }

    // The endpoint says unhealthy while flows progress.
    void targetEndpointLies(CellRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(3);
        run.cell.setReport(report(target, false));
        for (int i = 0; i < 20; ++i) {
            for (const char* name : { "b1", "b2", "b3" })
                run.cell.observe(name, { .target = target, .repeatedOpenings = 0, .progressedFlows = 5 });
            run.cell.run(500ms);
        }
        run.invariants.require(run.slotsOf(target) > 60, "A lying endpoint removed its target.");
    }

    void targetDies(CellRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(3);
        run.cell.setReport(report(target, false));
        for (int i = 0; i < 8; ++i) {
            run.cell.observe("b1", { .target = target, .repeatedOpenings = 4, .progressedFlows = 0 });
            run.cell.run(500ms);
        }
        run.requireDrained(3, 6s);
    }

    void mostTargetsLookBad(CellRun& run)
    {
        run.startBalancers(3);
        for (std::uint32_t number = 1; number <= 8; ++number)
            run.cell.setReport(report(run.targetId(number), false));
        run.cell.run(20s);
        for (std::uint32_t number = 1; number <= 8; ++number)
            run.invariants.require(
                run.slotsOf(run.targetId(number)) > 60, "A target was removed on a bad measurement.");
    }

    void targetSheds(CellRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(3);
        TargetReport shedding = report(target, true);
        shedding.shedding = true;
        run.cell.setReport(shedding);
        run.cell.run(20s);
        const std::size_t slots = run.slotsOf(target);
        run.invariants.require(slots > 30 && slots < 45, "A shedding target does not have half its share.");
    }

    void coldTargetRampsUp(CellRun& run)
    {
        run.startBalancers(3);
        run.vms.push_back(targetVm(15));
        run.cell.setVmList(run.vms);
        std::set<std::uint32_t> weights;
        run.cell.runUntil(
            [&] {
                const TableTarget* target
                    = run.cell.newestTable()->findService(ServiceId(1))->findTarget(run.targetId(15));
                if (target)
                    weights.insert(target->weight);
                return weights.contains(1000);
            },
            60s);
        run.invariants.require(weights == std::set<std::uint32_t> { 250, 500, 750, 1000 }, "Other weight steps.");
        run.cell.run(2s);
        run.invariants.require(run.slotsOf(run.targetId(15)) >= 68, "The new target lacks its share.");
    }

    void rollingReplacement(CellRun& run)
    {
        run.startBalancers(3);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(300);
        for (int i = 1; i <= 3; ++i) {
            run.cell.start("new" + std::to_string(i));
            run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
            FakeBalancer& old = run.cell.balancer("b" + std::to_string(i));
            old.controller->requestStop(run.cell.now());
            const auto done = [&] { return old.controller->stopComplete(run.cell.now()); };
            run.invariants.require(run.cell.runUntil(done, 10s), "The stop did not complete.");
            run.cell.kill("b" + std::to_string(i));
            run.invariants.requireRecords();
        }
        run.cell.run(3s);
        run.invariants.requireRecords();
        run.drain(4);
        run.requireDrained(4);
    }

    // Pairs of faults.

    void deathWhileJoining(CellRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.cell.start("joiner");
        run.cell.run(std::chrono::milliseconds(run.cell.random(600)));
        run.cell.kill(run.cell.random(2) == 0 ? "b1" : "b2");
        run.cell.run(5s);
        run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
        run.invariants.requireRecords();
    }

    void deathsInTurn(CellRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.cell.kill("b1");
        run.cell.run(3s);
        run.cell.kill("b2");
        run.cell.run(3s);
        run.invariants.requireRecords();
        run.drain(4);
        run.requireDrained(4);
    }

    void leaveWhileJoining(CellRun& run)
    {
        run.startBalancers(3);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.cell.start("joiner");
        run.cell.run(std::chrono::milliseconds(run.cell.random(600)));
        FakeBalancer& leaver = run.cell.balancer("b2");
        leaver.controller->requestStop(run.cell.now());
        const auto done = [&] { return leaver.controller->stopComplete(run.cell.now()); };
        run.invariants.require(run.cell.runUntil(done, 10s), "The stop did not complete.");
        run.cell.kill("b2");
        run.invariants.require(run.cell.runUntil([&] { return run.cell.allSettled(); }, 20s), "No settlement.");
        run.invariants.requireRecords();
    }

    // The writer dies between the announced and the moving version.
    void writerDiesDuringDrain(CellRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.cell.runUntil([&] { return run.anyIn(SlotPhase::Announced); }, 5s);
        run.cell.run(std::chrono::milliseconds(run.cell.random(1300)));
        run.cell.kill(run.writer());
        run.requireDrained(3);
    }

    void storeDownBalancerAndTargetDie(CellRun& run)
    {
        run.startBalancers(4);
        const TargetId target = run.targetId(3);
        run.cell.store.behaviour.down = true;
        run.cell.run(4s);
        run.cell.setReport(report(target, false));
        run.cell.run(std::chrono::milliseconds(3000 + run.cell.random(4000)));
        run.cell.kill(run.cell.random(2) == 0 ? "b1" : "b3");
        const auto agreed = [&] { return balancersWithAgreedDoubt(run, target) == 3; };
        run.invariants.require(run.cell.runUntil(agreed, 15s), "The doubt was not agreed.");
        run.cell.store.behaviour.down = false;
        run.requireDrained(3);
    }

    void pauseWhileAnswersAreLost(CellRun& run)
    {
        run.startBalancers(3);
        run.cell.store.behaviour.lostAnswers = 2;
        run.drain(3);
        run.cell.run(std::chrono::milliseconds(run.cell.random(300)));
        const std::string name = run.writer();
        run.cell.pause(name);
        run.cell.run(6s);
        run.cell.store.behaviour.lostAnswers = 2;
        run.cell.resume(name);
        run.requireDrained(3);
    }

    void drainAndTargetDeath(CellRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(4);
        run.cell.setReport(report(target, false));
        run.cell.run(std::chrono::milliseconds(4000 + run.cell.random(1500)));
        run.drain(3);
        run.requireDrained(3);
        run.requireDrained(4);
        run.requireStable();
    }

    // The VM list does not show the balancers and drops a target for a while.
    void vmListLags(CellRun& run)
    {
        run.startBalancers(3);
        const std::vector<VmEntry> full = run.vms;
        run.vms.clear();
        run.cell.setVmList(run.vms);
        run.cell.run(5s);
        run.invariants.require(run.slotsOf(run.targetId(3)) > 60, "An empty list took all targets away.");
        run.vms = full;
        run.cell.setVmList(run.vms);
        run.drain(3);
        run.requireDrained(3);
    }

    // An old table arrives from the store, as after a restore.
    void oldTableFromStore(CellRun& run)
    {
        run.startBalancers(3);
        const table::TableSet old = run.cell.store.written.front();
        run.drain(3);
        run.requireDrained(3);
        run.cell.store.table = old;
        run.cell.store.tableVersion = StoreVersion(++run.cell.store.lastVersion);
        run.drain(4);
        run.cell.run(3s);
        run.requireDrained(4);
    }

} // namespace

const std::vector<CellScenario>& cellScenarios()
{
    using S = CellTestSwitches;
    static const std::vector<CellScenario> scenarios {
        { "join during a drain", joinDuringDrain, nullptr },
        { "join behind a cut", joinBehindCut, [](S& s) { s.routeBeforeAdmission = true; } },
        { "join takes records", joinTakesRecords, [](S& s) { s.settleWithoutFetch = true; } },
        { "simultaneous joins", simultaneousJoins, [](S& s) { s.settleWithoutFetch = true; } },
        { "leave during a drain", leaveDuringDrain, [](S& s) { s.skipRecordSync = true; } },
        { "death of an owner", deathOfOwner, [](S& s) { s.skipRecordSync = true; } },
        { "short pause during a drain", shortPauseDuringDrain, nullptr },
        { "uneven updates", unevenUpdates, [](S& s) { s.applyWithoutEcho = true; } },
        { "pause and wake", pauseAndWake, [](S& s) { s.contactWithoutEcho = true; } },
        { "writer paused past its lease", writerPausedPastLease, nullptr },
        { "two writers", twoWriters, nullptr },
        { "answers of writes lost", answersLost, nullptr },
        { "store slow", storeSlow, nullptr },
        { "store down while a target dies", storeDownTargetDies, [](S& s) { s.doubtWithoutEcho = true; } },
        { "store down for long", storeDownLong, nullptr },
        { "partial cut", partialCut, [](S& s) { s.directLivenessOnly = true; } },
        { "cut off alone", cutOffAlone, nullptr },
        { "drain in two steps", drainInTwoSteps, nullptr },
        { "drain keeps open flows", drainKeepsOpenFlows, [](S& s) { s.settleWithRecords = true; } },
        { "recent openings are handed in", recentOpeningsHandedIn, [](S& s) { s.echoWithoutHandIn = true; } },
        { "an endpoint lies", targetEndpointLies, [](S& s) { s.trustEndpoint = true; } },
        { "a target dies", targetDies, nullptr },
        { "most targets look bad", mostTargetsLookBad, [](S& s) { s.removeAnyNumber = true; } },
        { "a target sheds", targetSheds, nullptr },
        { "a cold target ramps up", coldTargetRampsUp, nullptr },
        { "rolling replacement of all balancers", rollingReplacement, [](S& s) { s.skipRecordSync = true; } },
        { "a balancer dies while another joins", deathWhileJoining, [](S& s) { s.skipRecordSync = true; } },
        { "two balancers die in turn", deathsInTurn, [](S& s) { s.skipRecordSync = true; } },
        { "a balancer leaves while another joins", leaveWhileJoining, [](S& s) { s.skipRecordSync = true; } },
        { "the writer dies during a drain", writerDiesDuringDrain, nullptr },
        { "store down while a balancer and a target die", storeDownBalancerAndTargetDie, nullptr },
        { "the writer pauses while answers are lost", pauseWhileAnswersAreLost, nullptr },
        { "a target drains while another dies", drainAndTargetDeath, nullptr },
        { "the VM list lags", vmListLags, nullptr },
        { "an old table from the store", oldTableFromStore, [](S& s) { s.acceptLowerVersions = true; } },
    };
    return scenarios;
}

namespace {

    std::string violationOf(const CellScenario& scenario, std::uint64_t seed, const CellTestSwitches& switches)
    {
        CellRun run(seed, switches);
        scenario.run(run);
        run.finish();
        return run.invariants.violation();
    }

} // namespace

TEST_CASE("Control decisions hold the invariants of routing under each fault")
{
    for (const CellScenario& scenario : cellScenarios()) {
        DYNAMIC_SECTION(scenario.name)
        {
            forEachSeed(
                [&](std::uint64_t seed) { CHECK_THAT(violationOf(scenario, seed, {}), Catch::Matchers::Equals("")); });
        }
    }
}

// Guards against scenarios that would pass without the mechanism they are written for.
TEST_CASE("Without its mechanism each scenario fails")
{
    for (const CellScenario& scenario : cellScenarios()) {
        if (!scenario.breakIt)
            continue;
        DYNAMIC_SECTION(scenario.name)
        {
            CellTestSwitches switches;
            scenario.breakIt(switches);
            std::string violation;
            for (std::uint64_t seed = 1; seed <= 20 && violation.empty(); ++seed)
                violation = violationOf(scenario, seed, switches);
            INFO("Violation found: " << violation);
            CHECK_FALSE(violation.empty());
        }
    }
}

} // namespace anvilwalk::fakes
