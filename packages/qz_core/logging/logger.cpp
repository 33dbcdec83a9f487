// JSON lines by log4cplus. log4cplus keeps threads of its own; no decision runs there.
#include "qz_core/logging/logger.h"

#include "qz_core/logging/lineoutput.h"
#include "qz_core/logging/loglimiter.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <unistd.h>

#include <chrono>
#include <memory>

namespace qz {

namespace {

/// Of each event; what an engineer can read, and a small part of a processor's time.
constexpr std::uint64_t linesPerSecond = 40;

/// Gives each line to a LineOutput.
class LineAppender : public log4cplus::Appender
{
public:
    explicit LineAppender(std::shared_ptr<LineOutput> output)
        : output_(std::move(output))
    {
    }
    ~LineAppender() override { destructorImpl(); }
    LineAppender(const LineAppender &) = delete;
    LineAppender &operator=(const LineAppender &) = delete;

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        output_->write(event.getMessage());
    }

private:
    std::shared_ptr<LineOutput> output_;
};

std::shared_ptr<LineOutput> &output()
{
    static std::shared_ptr<LineOutput> current;
    return current;
}

LogLimiter &limiter()
{
    static LogLimiter current(linesPerSecond);
    return current;
}

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
    output() = std::make_shared<LineOutput>(STDOUT_FILENO);
    log4cplus::SharedAppenderPtr appender(new LineAppender(output()));
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

namespace {

void writeLine(LogLevel level, std::string_view event, nlohmann::json fields)
{
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

} // namespace

void log(LogLevel level, std::string_view event, nlohmann::json fields)
{
    if (!isLogged(level)) {
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now(); // Bounds lines, decides nothing.
    while (const auto leftOut = limiter().takeLeftOut(now)) {
        writeLine(LogLevel::Warning, "log-lines-left-out",
                  { { "of_event", leftOut->event_ }, { "lines", leftOut->count_ } });
    }
    const std::uint64_t dropped = output() == nullptr ? 0 : output()->takeDropped();
    if (dropped > 0) {
        writeLine(LogLevel::Warning, "log-lines-dropped", { { "lines", dropped } });
    }
    if (limiter().admit(event, now)) {
        writeLine(level, event, std::move(fields));
    }
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
