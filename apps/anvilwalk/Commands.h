#pragma once

#include "ExitCode.h"

#include <chrono>
#include <string>
#include <vector>

namespace anvilwalk {

// Options of all subcommands; each uses its own.
struct CommandOptions {
    std::vector<std::string> paths;
    std::string platformUrl;
    std::string operatorName;
    std::chrono::milliseconds timeout { 30'000 };
    // Interval of a report; 0 for counts since the start of the balancers.
    std::chrono::milliseconds over { 0 };
    bool dryRun = false;
    bool wait = false;
    bool json = false;
};

ExitCode runValidate(const CommandOptions&);
ExitCode runPublish(const CommandOptions&);
ExitCode runStatus(const CommandOptions&);
ExitCode runReport(const CommandOptions&);
// The first path is the id, the others are log files.
ExitCode runExplain(const CommandOptions&);

} // namespace anvilwalk
