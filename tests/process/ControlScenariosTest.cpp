#include "ControlScenarios.h"

using namespace std::chrono_literals;

namespace anvilwalk::fakes {

namespace {

    void joinDuringDrain(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.drain(3);
        run.harness.run(std::chrono::milliseconds(run.harness.random(1500)));
        run.harness.start("joiner");
        run.requireDrained(3);
        run.invariants.require(
            run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
        run.requireStable();
    }

    // One peer learns of the joiner only through another peer.
    void joinBehindCut(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.harness.cut("joiner", "b1");
        run.harness.start("joiner");
        run.harness.run(10s);
        run.harness.healAll();
        run.invariants.require(
            run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
    }

    void joinTakesRecords(ScenarioRun& run)
    {
        run.startBalancers(2);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.harness.start("joiner");
        run.invariants.require(
            run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
        run.invariants.requireRecords();
    }

    void simultaneousJoins(ScenarioRun& run)
    {
        run.startBalancers(2);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        for (const char* name : { "j1", "j2", "j3" })
            run.harness.start(name);
        run.invariants.require(
            run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
        run.harness.run(2s);
        run.invariants.requireRecords();
    }

    void leaveDuringDrain(ScenarioRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        const std::string leaver = run.harness.random(2) == 0 ? run.writer() : run.other();
        run.drain(4);
        FakeBalancer& balancer = run.harness.balancer(leaver);
        balancer.controlPlane->requestStop(run.harness.now());
        const auto done = [&] { return balancer.controlPlane->stopComplete(run.harness.now()); };
        run.invariants.require(run.harness.runUntil(done, 10s), "The stop did not complete.");
        run.harness.kill(leaver);
        run.invariants.requireRecords();
        run.harness.run(3s);
        run.invariants.requireRecords();
        run.requireDrained(4);
    }

    void deathOfOwner(ScenarioRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.harness.kill(run.harness.random(2) == 0 ? run.writer() : run.other());
        run.harness.run(4s);
        run.invariants.requireRecords();
        run.drain(4);
        run.requireDrained(4);
    }

    // The pause ends before the balancer is fenced, so it resumes with an old table that it still routes with.
    void shortPauseDuringDrain(ScenarioRun& run)
    {
        run.startBalancers(3);
        const std::string name = run.other();
        run.harness.pause(name);
        run.drain(3);
        run.harness.run(1450ms);
        run.harness.resume(name);
        run.requireDrained(3);
    }

    // Balancers that do not watch the object API get new tables long after the others.
    void unevenUpdates(ScenarioRun& run)
    {
        run.startBalancers(4);
        for (const auto& [name, balancer] : run.harness.balancers()) {
            if (!balancer->watching)
                balancer->fetchDelay = std::chrono::milliseconds(1200 + run.harness.random(1500));
        }
        run.drain(3);
        run.requireDrained(3);
        run.drain(4);
        run.requireDrained(4);
    }

    void pauseAndWake(ScenarioRun& run)
    {
        run.startBalancers(3);
        const std::string name = run.harness.random(2) == 0 ? run.writer() : run.other();
        run.harness.pause(name);
        run.drain(3);
        run.harness.run(std::chrono::milliseconds(4000 + run.harness.random(8000)));
        run.harness.resume(name);
        run.requireDrained(3);
        run.invariants.require(
            run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
        run.requireStable();
    }

    // The writer is paused with a pending write. Its lease expires and another balancer writes.
    void writerPausedPastLease(ScenarioRun& run)
    {
        run.startBalancers(3);
        const std::string name = run.writer();
        run.drain(3);
        run.harness.run(std::chrono::milliseconds(run.harness.random(60)));
        run.harness.pause(name);
        run.harness.run(8s);
        run.drain(4);
        run.harness.run(std::chrono::milliseconds(run.harness.random(1500)));
        run.harness.resume(name);
        run.requireDrained(3);
        run.requireDrained(4);
    }

    void twoWriters(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.harness.store.behaviour.conflicts = 2;
        run.drain(3);
        run.requireDrained(3);
    }

    void answersLost(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.harness.store.behaviour.lostAnswers = 3;
        run.drain(3);
        run.requireDrained(3);
        run.requireStable();
    }

    void storeSlow(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.harness.store.behaviour.minLatency = 300ms;
        run.harness.store.behaviour.maxLatency = 900ms;
        run.drain(3);
        run.requireDrained(3, 40s);
    }

    TargetReport report(TargetId target, bool healthy)
    {
        return { .target = target, .reachable = true, .healthy = healthy };
    }

    std::size_t balancersWithAgreedDoubt(ScenarioRun& run, TargetId target)
    {
        std::size_t count = 0;
        for (const FakeBalancer* balancer : run.harness.routing()) {
            const auto state = balancer->controlPlane->routingState();
            const auto found = state->doubts.find(target);
            count += found != state->doubts.end() && found->second.agreed ? 1 : 0;
        }
        return count;
    }

    void storeDownTargetDies(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.harness.store.behaviour.down = true;
        run.harness.run(5s);
        const TargetId target = run.targetId(3);
        // All balancers get the failing report, at slightly different times.
        run.harness.setReport(report(target, false));
        const auto agreed = [&] { return balancersWithAgreedDoubt(run, target) == 3; };
        run.invariants.require(run.harness.runUntil(agreed, 15s), "The doubt was not agreed.");
        run.harness.start("joiner");
        run.harness.run(10s);
        run.invariants.require(balancersWithAgreedDoubt(run, target) == 4, "The joiner does not apply the doubt.");
        run.harness.store.behaviour.down = false;
        run.requireDrained(3);
        run.harness.run(2s);
        run.invariants.require(balancersWithAgreedDoubt(run, target) == 0, "The table did not replace the doubt.");
    }

    void storeDownLong(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.harness.store.behaviour.down = true;
        run.harness.run(120s);
        run.invariants.require(run.harness.routing().size() == 3, "A balancer stopped while the store was down.");
        run.harness.start("joiner");
        run.harness.run(10s);
        run.invariants.require(run.harness.routing().size() == 4, "A balancer did not join while the store was down.");
        run.drain(3);
        run.harness.store.behaviour.down = false;
        run.requireDrained(3);
    }

    void partialCut(ScenarioRun& run)
    {
        run.startBalancers(4);
        const std::string writer = run.writer();
        const std::string name = run.other();
        run.harness.cut(writer, name);
        run.drain(3);
        run.harness.run(6s);
        run.invariants.requireSameMembers();
        run.requireDrained(3);
        run.harness.healAll();
        run.harness.run(3s);
    }

    void cutOffAlone(ScenarioRun& run)
    {
        run.startBalancers(3);
        const std::string name = run.harness.random(2) == 0 ? run.writer() : run.other();
        run.harness.cutOff(name);
        run.drain(3);
        run.harness.run(5s);
        FakeBalancer& lone = run.harness.balancer(name);
        run.invariants.require(
            !lone.controlPlane->ready(run.harness.now()), "A balancer that is cut off counts as ready.");
        run.harness.healAll();
        run.requireDrained(3);
        run.invariants.require(
            run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
    }

    void drainInTwoSteps(ScenarioRun& run)
    {
        run.startBalancers(3);
        const std::size_t before = run.harness.store.written.size();
        run.drain(3);
        const MonotonicTime start = run.harness.now();
        run.requireDrained(3);
        run.invariants.require(run.harness.now() - start <= 3s, "The target got new work for more than 3 s.");
        const auto& written = run.harness.store.written;
        const auto& announced = written.at(before).services(0);
        const auto& moving = written.at(before + 1).services(0);
        run.invariants.require(announced.exceptions_size() > 0, "The drain was not announced.");
        for (const auto& exception : announced.exceptions())
            run.invariants.require(exception.phase() == table::SLOT_PHASE_ANNOUNCED, "A slot moved at once.");
        for (const auto& exception : moving.exceptions())
            run.invariants.require(exception.phase() == table::SLOT_PHASE_MOVING, "The second step moved nothing.");
        run.requireStable();
        const auto table = run.harness.newestTable();
        run.invariants.require(table->message().next_target_id() == 15, "A target id was used again.");
    }

    void drainKeepsOpenFlows(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(200);
        run.harness.run(20s);
        run.invariants.require(!run.harness.newestTable()->findService(ServiceId(1))->exceptions.empty(),
            "Slots of open flows became stable.");
    }

    // A flow opened just before the announcement must be recorded at the owner before any slot moves.
    void recentOpeningsPushed(ScenarioRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(3);
        const auto table = run.harness.newestTable();
        std::vector<FlowEntry> flows;
        for (std::uint32_t number = 0; number < 400; ++number) {
            FlowEntry flow = ScenarioRun::flowOf(number);
            if (table->findService(ServiceId(1))->slots[flow.record.slot.value()] != target)
                continue;
            flow.record.target = target;
            flow.record.openedMs = FlowTable::toMilliseconds(run.harness.now());
            const std::string name = "b" + std::to_string(1 + number % 3);
            run.harness.balancer(name).flows->insert(flow.key, flow.key.hash(), flow.record, run.harness.now());
            run.invariants.track(flow);
        }
        run.drain(3);
        run.harness.runUntil([&] { return run.anyIn(SlotPhase::Moving); }, 10s);
        run.invariants.requireRecords();
    }

    // The endpoint reports unhealthy while flows make progress.
    void targetEndpointLies(ScenarioRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(3);
        run.harness.setReport(report(target, false));
        for (int i = 0; i < 20; ++i) {
            for (const char* name : { "b1", "b2", "b3" })
                run.harness.observe(name, { .target = target, .repeatedOpenings = 0, .progressedFlows = 5 });
            run.harness.run(500ms);
        }
        run.invariants.require(run.slotsOf(target) > 60, "A false endpoint report removed its target.");
    }

    void targetDies(ScenarioRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(3);
        run.harness.setReport(report(target, false));
        for (int i = 0; i < 8; ++i) {
            run.harness.observe("b1", { .target = target, .repeatedOpenings = 4, .progressedFlows = 0 });
            run.harness.run(500ms);
        }
        run.requireDrained(3, 6s);
    }

    void mostTargetsLookBad(ScenarioRun& run)
    {
        run.startBalancers(3);
        for (std::uint32_t number = 1; number <= 8; ++number)
            run.harness.setReport(report(run.targetId(number), false));
        run.harness.run(20s);
        for (std::uint32_t number = 1; number <= 8; ++number)
            run.invariants.require(
                run.slotsOf(run.targetId(number)) > 60, "A target was removed on a bad measurement.");
    }

    void targetSheds(ScenarioRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(3);
        TargetReport shedding = report(target, true);
        shedding.shedding = true;
        run.harness.setReport(shedding);
        run.harness.run(20s);
        const std::size_t slots = run.slotsOf(target);
        run.invariants.require(slots > 30 && slots < 45, "A shedding target does not have half its share.");
    }

    void coldTargetRampsUp(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.vms.push_back(targetVm(15));
        run.harness.setVmList(run.vms);
        std::set<std::uint32_t> weights;
        run.harness.runUntil(
            [&] {
                const auto table = run.harness.newestTable();
                const TableTarget* target = table->findService(ServiceId(1))->findTarget(run.targetId(15));
                if (target)
                    weights.insert(target->weight);
                return weights.contains(1000);
            },
            60s);
        run.invariants.require(weights == std::set<std::uint32_t> { 250, 500, 750, 1000 },
            "The weight steps differ from 250, 500, 750 and 1000.");
        run.harness.run(2s);
        run.invariants.require(run.slotsOf(run.targetId(15)) >= 68, "The new target lacks its share.");
    }

    void rollingReplacement(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(300);
        for (int i = 1; i <= 3; ++i) {
            run.harness.start("new" + std::to_string(i));
            run.invariants.require(
                run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
            FakeBalancer& old = run.harness.balancer("b" + std::to_string(i));
            old.controlPlane->requestStop(run.harness.now());
            const auto done = [&] { return old.controlPlane->stopComplete(run.harness.now()); };
            run.invariants.require(run.harness.runUntil(done, 10s), "The stop did not complete.");
            run.harness.kill("b" + std::to_string(i));
            run.invariants.requireRecords();
        }
        run.harness.run(3s);
        run.invariants.requireRecords();
        run.drain(4);
        run.requireDrained(4);
    }

    // Combinations of two faults.

    void deathWhileJoining(ScenarioRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.harness.start("joiner");
        run.harness.run(std::chrono::milliseconds(run.harness.random(600)));
        run.harness.kill(run.harness.random(2) == 0 ? "b1" : "b2");
        run.harness.run(5s);
        run.invariants.require(
            run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
        run.invariants.requireRecords();
    }

    void deathsInTurn(ScenarioRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.harness.kill("b1");
        run.harness.run(3s);
        run.harness.kill("b2");
        run.harness.run(3s);
        run.invariants.requireRecords();
        run.drain(4);
        run.requireDrained(4);
    }

    void leaveWhileJoining(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.drain(3);
        run.requireDrained(3);
        run.openFlows(400);
        run.harness.start("joiner");
        run.harness.run(std::chrono::milliseconds(run.harness.random(600)));
        FakeBalancer& leaver = run.harness.balancer("b2");
        leaver.controlPlane->requestStop(run.harness.now());
        const auto done = [&] { return leaver.controlPlane->stopComplete(run.harness.now()); };
        run.invariants.require(run.harness.runUntil(done, 10s), "The stop did not complete.");
        run.harness.kill("b2");
        run.invariants.require(
            run.harness.runUntil([&] { return run.harness.allSettled(); }, 20s), "Not all balancers settled.");
        run.invariants.requireRecords();
    }

    // The writer dies between the table that announces the slots and the one that moves them.
    void writerDiesDuringDrain(ScenarioRun& run)
    {
        run.startBalancers(4);
        run.drain(3);
        run.harness.runUntil([&] { return run.anyIn(SlotPhase::Announced); }, 5s);
        run.harness.run(std::chrono::milliseconds(run.harness.random(1300)));
        run.harness.kill(run.writer());
        run.requireDrained(3);
    }

    void storeDownBalancerAndTargetDie(ScenarioRun& run)
    {
        run.startBalancers(4);
        const TargetId target = run.targetId(3);
        run.harness.store.behaviour.down = true;
        run.harness.run(4s);
        run.harness.setReport(report(target, false));
        run.harness.run(std::chrono::milliseconds(3000 + run.harness.random(4000)));
        run.harness.kill(run.harness.random(2) == 0 ? "b1" : "b3");
        const auto agreed = [&] { return balancersWithAgreedDoubt(run, target) == 3; };
        run.invariants.require(run.harness.runUntil(agreed, 15s), "The doubt was not agreed.");
        run.harness.store.behaviour.down = false;
        run.requireDrained(3);
    }

    void pauseWhileAnswersAreLost(ScenarioRun& run)
    {
        run.startBalancers(3);
        run.harness.store.behaviour.lostAnswers = 2;
        run.drain(3);
        run.harness.run(std::chrono::milliseconds(run.harness.random(300)));
        const std::string name = run.writer();
        run.harness.pause(name);
        run.harness.run(6s);
        run.harness.store.behaviour.lostAnswers = 2;
        run.harness.resume(name);
        run.requireDrained(3);
    }

    void drainAndTargetDeath(ScenarioRun& run)
    {
        run.startBalancers(3);
        const TargetId target = run.targetId(4);
        run.harness.setReport(report(target, false));
        run.harness.run(std::chrono::milliseconds(4000 + run.harness.random(1500)));
        run.drain(3);
        run.requireDrained(3);
        run.requireDrained(4);
        run.requireStable();
    }

    // The VM list is empty for a while.
    void vmListLags(ScenarioRun& run)
    {
        run.startBalancers(3);
        const std::vector<VmEntry> full = run.vms;
        run.vms.clear();
        run.harness.setVmList(run.vms);
        run.harness.run(5s);
        run.invariants.require(run.slotsOf(run.targetId(3)) > 60, "An empty list took all targets away.");
        run.vms = full;
        run.harness.setVmList(run.vms);
        run.drain(3);
        run.requireDrained(3);
    }

    // The store returns an old table, for example after a restore from a backup.
    void oldTableFromStore(ScenarioRun& run)
    {
        run.startBalancers(3);
        const table::TableSet old = run.harness.store.written.front();
        run.drain(3);
        run.requireDrained(3);
        run.harness.store.table = old;
        run.harness.store.tableVersion = StoreVersion(++run.harness.store.lastVersion);
        run.drain(4);
        run.harness.run(3s);
        run.requireDrained(4);
    }

} // namespace

const std::vector<ControlScenario>& controlScenarios()
{
    using S = ControlTestSwitches;
    static const std::vector<ControlScenario> scenarios {
        { "join during a drain", joinDuringDrain, nullptr },
        { "join behind a cut", joinBehindCut, [](S& s) { s.routeBeforeAdmission = true; } },
        { "join takes records", joinTakesRecords, [](S& s) { s.settleWithoutFetch = true; } },
        { "simultaneous joins", simultaneousJoins, [](S& s) { s.settleWithoutFetch = true; } },
        { "leave during a drain", leaveDuringDrain, [](S& s) { s.skipRecordSync = true; } },
        { "death of an owner", deathOfOwner, [](S& s) { s.skipRecordSync = true; } },
        { "short pause during a drain", shortPauseDuringDrain, nullptr },
        { "uneven updates", unevenUpdates, [](S& s) { s.applyWithoutAck = true; } },
        { "pause and wake", pauseAndWake, [](S& s) { s.contactWithoutAck = true; } },
        { "writer paused past its lease", writerPausedPastLease, nullptr },
        { "two writers", twoWriters, nullptr },
        { "answers of writes lost", answersLost, nullptr },
        { "store slow", storeSlow, nullptr },
        { "store down while a target dies", storeDownTargetDies, [](S& s) { s.doubtWithoutAck = true; } },
        { "store down for long", storeDownLong, nullptr },
        { "partial cut", partialCut, [](S& s) { s.directLivenessOnly = true; } },
        { "cut off alone", cutOffAlone, nullptr },
        { "drain in two steps", drainInTwoSteps, nullptr },
        { "drain keeps open flows", drainKeepsOpenFlows, [](S& s) { s.settleWithRecords = true; } },
        { "recent openings are pushed", recentOpeningsPushed, [](S& s) { s.ackWithoutPush = true; } },
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

    std::string violationOf(const ControlScenario& scenario, std::uint64_t seed, const ControlTestSwitches& switches)
    {
        ScenarioRun run(seed, switches);
        scenario.run(run);
        run.finish();
        return run.invariants.violation();
    }

} // namespace

TEST_CASE("The control plane keeps the routing invariants under each fault")
{
    for (const ControlScenario& scenario : controlScenarios()) {
        DYNAMIC_SECTION(scenario.name)
        {
            forEachSeed(
                [&](std::uint64_t seed) { CHECK_THAT(violationOf(scenario, seed, {}), Catch::Matchers::Equals("")); });
        }
    }
}

// Guards against scenarios that pass without the mechanism they test.
TEST_CASE("Each scenario fails when its mechanism is disabled")
{
    for (const ControlScenario& scenario : controlScenarios()) {
        if (!scenario.disableMechanism)
            continue;
        DYNAMIC_SECTION(scenario.name)
        {
            ControlTestSwitches switches;
            scenario.disableMechanism(switches);
            std::string violation;
            for (std::uint64_t seed = 1; seed <= 20 && violation.empty(); ++seed)
                violation = violationOf(scenario, seed, switches);
            INFO("Violation found: " << violation);
            CHECK_FALSE(violation.empty());
        }
    }
}

} // namespace anvilwalk::fakes
