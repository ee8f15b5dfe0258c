#include "Lab.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace lab {

asio::awaitable<int> runEvacuation(Lab&);
asio::awaitable<int> runFailback(Lab&);
asio::awaitable<int> runFollowers(Lab&);
asio::awaitable<int> runRestore(Lab&);

namespace {

    asio::awaitable<void> runCase(Lab& lab, int& result)
    {
        const std::string& name = lab.options().caseName;
        if (name == "evacuation")
            result = co_await runEvacuation(lab);
        else if (name == "failback")
            result = co_await runFailback(lab);
        else if (name == "followers")
            result = co_await runFollowers(lab);
        else if (name == "restore")
            result = co_await runRestore(lab);
        if (lab.anyBalancerEnded())
            result = CouldNotRun;
        lab.note("result " + std::to_string(result));
        lab.context().stop();
    }

} // namespace

} // namespace lab

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: lab CASE FOLDER PROGRAM\n";
        return lab::CouldNotRun;
    }
    lab::Options options { .caseName = argv[1], .folder = argv[2], .program = argv[3] };
    const char* trouble = std::getenv("TROUBLE");
    options.trouble = trouble == nullptr || std::string(trouble) != "0";
    if (const char* seed = std::getenv("SEED"))
        options.seed = static_cast<unsigned>(std::atoi(seed));
    else
        options.seed = std::random_device()();
    boost::asio::io_context context(1);
    lab::Lab instance(context, options);
    int result = lab::CouldNotRun;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error)
            context.stop();
    });
    boost::asio::co_spawn(context, lab::runCase(instance, result), boost::asio::detached);
    context.run();
    instance.endBalancers();
    return result;
}
