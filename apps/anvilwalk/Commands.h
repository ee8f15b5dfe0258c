#pragma once

#include "ExitCode.h"

#include <chrono>
#include <string>
#include <vector>

namespace anvilwalk {

// Parsed options of all subcommands. Each subcommand reads only those that it declares.
struct CommandOptions {
    std::vector<std::string> paths;
    std::string platformUrl;
    std::string operatorName;
    std::chrono::milliseconds timeout { 30'000 };
    // Interval over which a report counts; 0 for counts since the balancers started.
    std::chrono::milliseconds interval { 0 };
    // Addresses with port, as written: the metrics address of a balancer, a client and a service.
    std::string balancer {};
    std::string client {};
    std::string service {};
    bool dryRun = false;
    bool wait = false;
    bool json = false;
};

ExitCode runValidate(const CommandOptions&);
ExitCode runPublish(const CommandOptions&);
ExitCode runStatus(const CommandOptions&);
ExitCode runReport(const CommandOptions&);
// The first path is a request id or flow name, the others are log files; "-" is standard input.
ExitCode runExplain(const CommandOptions&);
// Prints where a balancer would send a new connection, and why.
ExitCode runWhere(const CommandOptions&);

} // namespace anvilwalk
