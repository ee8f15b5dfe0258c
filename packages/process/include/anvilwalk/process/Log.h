#pragma once

#include <string>

namespace anvilwalk {

enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

// Component that writes a log line; its name is printed in the line.
enum class LogComponent {
    Router,
    Peer,
    Store,
    Config,
    Table,
    Target,
    App,
};

// Starts logging to standard error. The level is one of trace, debug, info, warn and error; any other text selects
// info. Messages before the first call are discarded.
void startLog(const std::string& level);

void log(LogComponent, LogLevel, const std::string& message);

inline void logInfo(LogComponent component, const std::string& message) { log(component, LogLevel::Info, message); }
inline void logWarn(LogComponent component, const std::string& message) { log(component, LogLevel::Warn, message); }

} // namespace anvilwalk
