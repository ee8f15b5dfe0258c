#include "Soak.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace anvilwalk::soak;

enum ExitCode : int {
    Kept = 0,
    Broken = 1,
    Usage = 2,
    Interrupted = 3,
};

cxxopts::Options makeOptions()
{
    cxxopts::Options options("anvilwalk_soak", "Runs balancers among stand-ins, injects faults and checks promises.");
    options.add_options()("program", "path of anvilwalk-edge", cxxopts::value<std::string>())(
        "folder", "folder for settings, logs and the report", cxxopts::value<std::string>())("seed",
        "decides the faults; what balancers and callers do depends on timing too",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "time in which faults begin", cxxopts::value<std::uint32_t>()->default_value("15"))(
        "pause-ms", "mean pause between two faults", cxxopts::value<std::uint32_t>()->default_value("400"))(
        "balancers", "number of balancer processes", cxxopts::value<std::size_t>()->default_value("9"))("network",
        "second number of the loopback addresses; runs at one time need different ones",
        cxxopts::value<unsigned>()->default_value("40"))("sabotage", "breaks a promise on purpose",
        cxxopts::value<std::string>()->default_value("none"))("help", "print this help");
    return options;
}

SoakOptions readOptions(const cxxopts::ParseResult& arguments)
{
    const auto sabotage = parseSabotage(arguments["sabotage"].as<std::string>());
    if (!sabotage)
        throw std::invalid_argument("--sabotage has no such name");
    constexpr std::size_t mostBalancers = 250;
    const auto balancers = arguments["balancers"].as<std::size_t>();
    if (balancers == 0 || balancers > mostBalancers)
        throw std::invalid_argument("--balancers is from 1 to 250");
    constexpr unsigned mostNetworks = 254;
    const auto network = arguments["network"].as<unsigned>();
    if (network == 0 || network > mostNetworks)
        throw std::invalid_argument("--network is from 1 to 254");
    const std::chrono::milliseconds pause(arguments["pause-ms"].as<std::uint32_t>());
    if (pause.count() == 0)
        throw std::invalid_argument("--pause-ms is at least 1");
    return { .program = arguments["program"].as<std::string>(),
        .folder = arguments["folder"].as<std::string>(),
        .seed = arguments["seed"].as<std::uint64_t>(),
        .balancers = balancers,
        .faultTime = std::chrono::seconds(arguments["seconds"].as<std::uint32_t>()),
        .faultPause = pause,
        .network = static_cast<std::uint8_t>(network),
        .sabotage = *sabotage };
}

int runSoak(const SoakOptions& options)
{
    std::filesystem::create_directories(options.folder);
    boost::asio::io_context context(1);
    Soak soak(context, options);
    bool interrupted = false;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code error, int) {
        if (error)
            return;
        interrupted = true;
        context.stop();
    });
    boost::asio::co_spawn(context, soak.run(), boost::asio::detached);
    context.run();
    std::ofstream(options.folder + "/report.json") << soak.report().dump(2) << "\n";
    std::cout << soak.summary();
    if (interrupted)
        return Interrupted;
    return soak.kept() ? Kept : Broken;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return Kept;
        }
        if (arguments.count("program") == 0 || arguments.count("folder") == 0)
            throw std::invalid_argument("--program and --folder are needed");
        return runSoak(readOptions(arguments));
    } catch (const std::exception& error) {
        std::cerr << "anvilwalk_soak: " << error.what() << "\n";
        return Usage;
    }
}
