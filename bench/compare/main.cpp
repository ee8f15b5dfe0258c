#include "Simulation.h"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace anvilwalk;
using namespace anvilwalk::bench;

namespace {

// Bounds of section 1.7 of the design page.
constexpr double maxControlRate = 4096;
constexpr double maxImbalance = 1.10;

struct Run {
    SimulationOptions options;
    SimulationResult result;
};

const char* nameOf(Design design)
{
    switch (design) {
    case Design::SlotTables:
        return "slot tables";
    case Design::ConsistentHash:
        return "consistent hashing";
    case Design::ReplicatedRecords:
        return "replicated records";
    }
    return "";
}

const char* nameOf(Scenario scenario)
{
    switch (scenario) {
    case Scenario::NoChange:
        return "no change";
    case Scenario::DrainOne:
        return "drain of one target";
    case Scenario::DrainTwo:
        return "drain of two targets";
    case Scenario::ReplaceBalancers:
        return "replacement of all balancers during a drain";
    case Scenario::ScaleUp:
        return "scale-up by a half";
    case Scenario::WeightChange:
        return "weight of one target halved";
    }
    return "";
}

std::vector<std::string> missedBounds(const Run& run)
{
    std::vector<std::string> missed;
    if (run.result.brokenTotal() > 0)
        missed.emplace_back("broken flows");
    if (run.result.lateOpenings > 0)
        missed.emplace_back("opening packets at a leaving target after 3 s");
    if (run.result.controlRate > maxControlRate)
        missed.emplace_back("control bytes");
    for (const auto& [hosts, imbalance] : run.result.imbalanceBefore) {
        if (imbalance > maxImbalance)
            missed.push_back("imbalance before the change at " + std::to_string(hosts) + " hosts");
    }
    for (const auto& [hosts, imbalance] : run.result.imbalanceAfter) {
        if (imbalance > maxImbalance)
            missed.push_back("imbalance after the change at " + std::to_string(hosts) + " hosts");
    }
    return missed;
}

nlohmann::json toJson(const Run& run)
{
    const SimulationResult& result = run.result;
    nlohmann::json before;
    nlohmann::json after;
    nlohmann::json requestsAfter;
    for (const auto& [hosts, value] : result.imbalanceBefore)
        before[std::to_string(hosts)] = value;
    for (const auto& [hosts, value] : result.imbalanceAfter)
        after[std::to_string(hosts)] = value;
    for (const auto& [hosts, value] : result.requestImbalanceAfter)
        requestsAfter[std::to_string(hosts)] = value;
    return { { "design", nameOf(run.options.design) }, { "scenario", nameOf(run.options.scenario) },
        { "seed", run.options.seed }, { "durationMs", run.options.durationMs },
        { "newFlowsPerBalancer", run.options.newFlowsPerBalancer }, { "flows", result.flows },
        { "packets", result.packets }, { "broken", result.broken }, { "droppedPackets", result.droppedPackets },
        { "relays", result.relays }, { "maxRelaysOfPacket", result.maxRelaysOfPacket },
        { "lateOpenings", result.lateOpenings }, { "lastOpeningAtLeavingMs", result.lastOpeningAtLeavingMs },
        { "imbalanceBefore", before }, { "imbalanceAfter", after }, { "requestImbalanceAfter", requestsAfter },
        { "controlBytes", result.controlBytes }, { "controlBytesPerSecond", result.controlRate },
        { "peakRecordBytesPerSecond", result.peakRecordRate }, { "missedBounds", missedBounds(run) } };
}

std::uint64_t total(const std::map<std::string, std::uint64_t>& counts)
{
    std::uint64_t sum = 0;
    for (const auto& [name, count] : counts)
        sum += count;
    return sum;
}

std::string pair(const std::map<std::size_t, double>& values)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    for (auto it = values.rbegin(); it != values.rend(); ++it)
        text << (it == values.rbegin() ? "" : " / ") << it->second;
    return text.str();
}

void printTable(const std::vector<Run>& runs)
{
    std::cout
        << "| scenario | design | flows | broken | other target | repeated opening | undelivered "
           "| dropped packets | relays a packet | most relays | last opening at leaving, ms "
           "| imbalance before (14 / 4 hosts) | after | after, requests only | control B/s | of it records | peak "
           "records B/s |\n"
        << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Run& run : runs) {
        const SimulationResult& result = run.result;
        const auto cause = [&](const char* name) {
            const auto found = result.broken.find(name);
            return found == result.broken.end() ? 0 : found->second;
        };
        const auto records = result.controlBytes.find("records");
        const double recordRate = records == result.controlBytes.end() ? 0
                                                                       : static_cast<double>(records->second) * 1000
                / static_cast<double>(run.options.durationMs) / static_cast<double>(run.options.balancers);
        std::cout << "| " << nameOf(run.options.scenario) << " | " << nameOf(run.options.design) << " | "
                  << result.flows << " | " << result.brokenTotal() << " | " << cause("other_target") << " | "
                  << cause("opening_repeated_at_other_target") << " | " << cause("undelivered") << " | "
                  << total(result.droppedPackets) << " | " << std::fixed << std::setprecision(3)
                  << static_cast<double>(result.relays) / static_cast<double>(result.packets) << " | "
                  << result.maxRelaysOfPacket << " | " << result.lastOpeningAtLeavingMs << " | "
                  << pair(result.imbalanceBefore) << " | " << pair(result.imbalanceAfter) << " | "
                  << pair(result.requestImbalanceAfter) << " | " << std::setprecision(0) << result.controlRate << " | "
                  << recordRate << " | " << result.peakRecordRate << " |\n";
    }
}

SimulationOptions readOptions(int argc, char* argv[], std::string& jsonPath)
{
    SimulationOptions options;
    if (const char* seed = std::getenv("ANVILWALK_SEED"))
        options.seed = std::strtoull(seed, nullptr, 10);
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        const auto value = std::strtoull(argv[i + 1], nullptr, 10);
        if (name == "--seed")
            options.seed = value;
        else if (name == "--seconds")
            options.durationMs = static_cast<std::uint32_t>(value * 1000);
        else if (name == "--new-flows")
            options.newFlowsPerBalancer = static_cast<std::uint32_t>(value);
        else if (name == "--json")
            jsonPath = argv[i + 1];
        else
            throw std::invalid_argument(
                "Unknown option " + name + "; known: --seed N, --seconds N, --new-flows N, --json PATH.");
    }
    return options;
}

std::vector<Run> makeRuns(const SimulationOptions& options)
{
    std::vector<Run> runs;
    for (const Scenario scenario : { Scenario::NoChange, Scenario::DrainOne, Scenario::DrainTwo,
             Scenario::ReplaceBalancers, Scenario::ScaleUp, Scenario::WeightChange }) {
        for (const Design design : { Design::SlotTables, Design::ConsistentHash, Design::ReplicatedRecords }) {
            Run run { .options = options, .result = {} };
            run.options.scenario = scenario;
            run.options.design = design;
            runs.push_back(run);
        }
    }
    return runs;
}

void runAll(std::vector<Run>& runs)
{
    // Each run is deterministic on its own, so that threads do not change the result.
    constexpr std::size_t threadCount = 4;
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < runs.size(); index = next++)
                runs[index].result = Simulation(runs[index].options).run();
        });
    }
    for (std::thread& thread : threads)
        thread.join();
}

} // namespace

// Exits with 1 if the chosen design misses a bound.
int main(int argc, char* argv[])
{
    try {
        std::string jsonPath;
        std::vector<Run> runs = makeRuns(readOptions(argc, argv, jsonPath));
        runAll(runs);
        printTable(runs);
        nlohmann::json all = nlohmann::json::array();
        bool held = true;
        for (const Run& run : runs) {
            all.push_back(toJson(run));
            if (run.options.design != Design::SlotTables)
                continue;
            for (const std::string& missed : missedBounds(run)) {
                std::cout << "Missed in \"" << nameOf(run.options.scenario) << "\": " << missed << ".\n";
                held = false;
            }
        }
        if (!jsonPath.empty())
            std::ofstream(jsonPath) << all.dump(2) << "\n";
        return held ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
