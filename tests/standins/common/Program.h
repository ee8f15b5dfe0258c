#pragma once

#include <anvilwalk/units.h>

#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

namespace anvilwalk::standins {

// Creates the parts of a program and returns what SIGTERM and SIGINT call. The parts must live in the returned
// function. The program ends when the context has stopped or no work is left after the signal.
using ProgramStart = std::function<std::function<void()>(boost::asio::io_context&, const cxxopts::ParseResult&)>;

// Parses the arguments and runs the context until a signal. Returns the exit code. With stopOnSignal false, the
// stop function must stop the context itself.
int runProgram(cxxopts::Options&, int argc, char* argv[], const ProgramStart&, bool stopOnSignal = true);

// Value of an argument "address:port". Throws if it is missing or malformed.
Ipv4Endpoint endpointArgument(const cxxopts::ParseResult&, const std::string& name);

} // namespace anvilwalk::standins
