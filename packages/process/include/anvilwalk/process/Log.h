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

// Parts of the program; each has a fixed prefix in the log.
enum class LogPart {
    Router,
    Peer,
    Store,
    Config,
    Table,
    Target,
    App,
};

// Starts logging to standard error. The level is one of trace, debug, info, warn, error. Before the first call
// nothing is logged.
void startLog(const std::string& level);

void log(LogPart, LogLevel, const std::string& message);

inline void logInfo(LogPart part, const std::string& message) { log(part, LogLevel::Info, message); }
inline void logWarn(LogPart part, const std::string& message) { log(part, LogLevel::Warn, message); }

} // namespace anvilwalk
