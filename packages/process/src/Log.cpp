#include <anvilwalk/process/Log.h>

#include <array>
#include <atomic>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace anvilwalk {

namespace {

    constexpr std::array<const char*, 7> componentNames { "router", "peer", "store", "config", "table", "target",
        "app" };
    constexpr std::array<log4cplus::LogLevel, 5> levels { log4cplus::TRACE_LOG_LEVEL, log4cplus::DEBUG_LOG_LEVEL,
        log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL };
    std::atomic<bool> logStarted { false };

    log4cplus::LogLevel levelOf(const std::string& name)
    {
        static constexpr std::array<const char*, 5> names { "trace", "debug", "info", "warn", "error" };
        for (std::size_t index = 0; index < names.size(); ++index) {
            if (name == names[index])
                return levels[index];
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

} // namespace

void startLog(const std::string& level)
{
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(levelOf(level));
    logStarted = true;
}

void log(LogComponent component, LogLevel level, const std::string& message)
{
    if (!logStarted)
        return;
    const auto logger = log4cplus::Logger::getInstance(componentNames[static_cast<std::size_t>(component)]);
    logger.log(levels[static_cast<std::size_t>(level)], message);
}

} // namespace anvilwalk
