// JSON lines by log4cplus. log4cplus keeps threads of its own; no decision runs there.
#include "qz_core/logging/logger.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <chrono>
#include <memory>

namespace qz {

namespace {

std::string &instanceName()
{
    static std::string name;
    return name;
}

log4cplus::Logger &rootLogger()
{
    static log4cplus::Logger logger = log4cplus::Logger::getRoot();
    return logger;
}

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

} // namespace

LogSession::LogSession(LogLevel level, std::string instance)
{
    static log4cplus::Initializer initializer;
    instanceName() = std::move(instance);
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    rootLogger().removeAllAppenders();
    rootLogger().addAppender(appender);
    rootLogger().setLogLevel(toLog4cplus(level));
}

LogSession::~LogSession()
{
    rootLogger().removeAllAppenders();
}

bool isLogged(LogLevel level)
{
    return rootLogger().isEnabledFor(toLog4cplus(level));
}

void log(LogLevel level, std::string_view event, nlohmann::json fields)
{
    if (!isLogged(level)) {
        return;
    }
    using namespace std::chrono;
    const auto sinceEpoch =
            system_clock::now().time_since_epoch(); // For people, not for decisions.
    fields["time_ms"] = duration_cast<milliseconds>(sinceEpoch).count();
    fields["level"] = levelName(level);
    fields["event"] = event;
    fields["instance"] = instanceName();
    const auto replace = nlohmann::json::error_handler_t::replace;
    rootLogger().log(toLog4cplus(level), fields.dump(-1, ' ', false, replace));
}

Result<LogLevel> parseLogLevel(std::string_view name)
{
    for (const LogLevel level :
         { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (levelName(level) == name) {
            return level;
        }
    }
    return failure(ErrorKind::InvalidSettings, "must be one of debug, info, warning, error");
}

} // namespace qz
