#include "Commands.h"

#include <anvilwalk/eventlog.h>

#include <fstream>
#include <iostream>

namespace anvilwalk {

namespace {

    bool readFiles(LogTraceReader& reader, const CommandOptions& options)
    {
        for (auto path = options.paths.begin() + 1; path != options.paths.end(); ++path) {
            if (*path == "-") {
                reader.read(std::cin);
                continue;
            }
            std::ifstream file(*path);
            if (!file) {
                std::cerr << "Cannot read " << *path << ".\n";
                return false;
            }
            reader.read(file);
        }
        return true;
    }

} // namespace

ExitCode runExplain(const CommandOptions& options)
{
    if (options.paths.size() < 2) {
        std::cerr << "An id and at least one log file are required: anvilwalk explain ID FILE...\n";
        return ExitCode::Usage;
    }
    LogTraceReader reader(options.paths.front());
    if (!readFiles(reader, options))
        return ExitCode::Usage;
    const LogTrace trace = reader.finish();
    for (const LogEvent& event : trace.events)
        std::cout << event.timeMs << " " << event.balancer << " " << event.line << "\n";
    std::cerr << trace.events.size() << " lines, " << trace.flows.size() << " flows, " << trace.targets.size()
              << " targets; " << trace.invalidLines << " lines skipped because they are not log events.\n";
    return trace.events.empty() ? ExitCode::Incomplete : ExitCode::Success;
}

} // namespace anvilwalk
