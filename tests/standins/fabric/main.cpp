#include "Fabric.h"

#include <common/Program.h>

#include <stdexcept>

using namespace anvilwalk;

// Stand-in for the fabric that sprays packets over the balancers of one data centre.
int main(int argc, char* argv[])
{
    cxxopts::Options options("standin_fabric", "Stand-in for the fabric of one data centre.");
    options.add_options()("listen", "address:port for IP-in-UDP", cxxopts::value<std::string>())(
        "control", "address:port for /control", cxxopts::value<std::string>())("platform", "URL of the platform",
        cxxopts::value<std::string>())("data-centre", "data centre", cxxopts::value<std::string>())(
        "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "loss", "rate of lost packets", cxxopts::value<double>()->default_value("0"))(
        "duplicate", "rate of repeated packets", cxxopts::value<double>()->default_value("0"))(
        "delay", "rate of late packets", cxxopts::value<double>()->default_value("0"))(
        "max-delay-ms", "longest delay of a late packet", cxxopts::value<int>()->default_value("50"));
    return standins::runProgram(options, argc, argv, [](auto& context, const cxxopts::ParseResult& arguments) {
        const auto platform = standins::HttpUrl::parse(arguments["platform"].as<std::string>());
        if (!platform)
            throw std::runtime_error("--platform is not http://address:port");
        const standins::FabricOptions fabric { .listen = standins::endpointArgument(arguments, "listen"),
            .control = standins::endpointArgument(arguments, "control"),
            .platform = *platform,
            .dataCentre = arguments["data-centre"].as<std::string>(),
            .seed = arguments["seed"].as<std::uint64_t>(),
            .faults = { .lossRate = arguments["loss"].as<double>(),
                .duplicateRate = arguments["duplicate"].as<double>(),
                .delayRate = arguments["delay"].as<double>(),
                .maxDelay = std::chrono::milliseconds(arguments["max-delay-ms"].as<int>()) } };
        auto program = std::make_shared<standins::Fabric>(context, fabric);
        return [program] {};
    });
}
