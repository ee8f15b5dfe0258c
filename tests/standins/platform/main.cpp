#include "PlatformServer.h"

#include <common/Program.h>

#include <cxxopts.hpp>
#include <iostream>

using namespace anvilwalk;

// Stand-in for the platform: the object API in memory.
int main(int argc, char* argv[])
{
    cxxopts::Options options("standin_platform", "Stand-in for the platform's object API, in memory.");
    options.add_options()("listen", "HTTP address:port", cxxopts::value<std::string>())(
        "history", "events that a watch can go back", cxxopts::value<std::size_t>()->default_value("10000"));
    return standins::runProgram(options, argc, argv, [](auto& context, const cxxopts::ParseResult& arguments) {
        auto server = std::make_shared<standins::PlatformServer>(
            context, standins::endpointArgument(arguments, "listen"), arguments["history"].as<std::size_t>());
        std::cout << "standin_platform listens on port " << server->port() << std::endl;
        return [server] {};
    });
}
