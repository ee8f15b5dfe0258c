#include "Balancer.h"

#include <cxxopts.hpp>
#include <google/protobuf/stubs/logging.h>
#include <iostream>

namespace {

constexpr int exitUsage = 2;

int runBalancer(const anvilwalk::Settings& settings)
{
    anvilwalk::startLog(settings.logLevel);
    // The library writes a line for each bad message, which anyone can send to the relay port.
    google::protobuf::SetLogHandler(nullptr);
    anvilwalk::Balancer balancer(settings);
    const anvilwalk::Status status = balancer.start();
    if (!anvilwalk::isOk(status)) {
        std::cerr << anvilwalk::errorOf(status).message << "\n";
        return EXIT_FAILURE;
    }
    balancer.run();
    anvilwalk::logInfo(anvilwalk::LogComponent::App, "Balancer " + settings.balancer.value() + " ends.");
    return EXIT_SUCCESS;
}

int runWithOptions(const cxxopts::ParseResult& options)
{
    const auto settings = anvilwalk::loadSettings(options["config"].as<std::string>());
    if (const auto* findings = std::get_if<anvilwalk::Findings>(&settings)) {
        std::cerr << findings->toString();
        return exitUsage;
    }
    if (options.count("check") > 0) {
        std::cout << "The settings are valid.\n";
        return EXIT_SUCCESS;
    }
    return runBalancer(std::get<anvilwalk::Settings>(settings));
}

} // namespace

int main(int argc, char* argv[])
{
    cxxopts::Options options("anvilwalkd", "Layer-4 load balancer.");
    options.add_options()("config", "Settings file (TOML)", cxxopts::value<std::string>())(
        "check", "Check the settings file and exit")("version", "Print the version")("help", "Print this help");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (parsed.count("version") > 0) {
            std::cout << "anvilwalkd " ANVILWALK_VERSION "\n";
            return EXIT_SUCCESS;
        }
        if (parsed.count("config") == 0 || !parsed.unmatched().empty()) {
            std::cerr << options.help();
            return exitUsage;
        }
        return runWithOptions(parsed);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return exitUsage;
    }
}
