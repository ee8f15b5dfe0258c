#include "Program.h"

#include <csignal>
#include <iostream>
#include <stdexcept>

#include <boost/asio/signal_set.hpp>

namespace anvilwalk::standins {

int runProgram(cxxopts::Options& options, int argc, char* argv[], const ProgramStart& start, bool stopOnSignal)
{
    options.add_options()("help", "print the options");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        boost::asio::io_context context(1);
        const auto stop = start(context, arguments);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](boost::system::error_code error, int) {
            if (error)
                return;
            stop();
            if (stopOnSignal)
                context.stop();
        });
        context.run();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << options.program() << ": " << error.what() << "\n";
        return 1;
    }
}

Ipv4Endpoint endpointArgument(const cxxopts::ParseResult& arguments, const std::string& name)
{
    if (arguments.count(name) == 0)
        throw std::runtime_error("--" + name + " is missing");
    const auto text = arguments[name].as<std::string>();
    const auto endpoint = Ipv4Endpoint::parse(text);
    if (!endpoint)
        throw std::runtime_error("--" + name + " is not address:port: " + text);
    return *endpoint;
}

} // namespace anvilwalk::standins
