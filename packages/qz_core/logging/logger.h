// Logs as JSON lines on standard output, by log4cplus. Standard error is left to libraries
// that write there by themselves, so that every line of the log is JSON.
#pragma once

#include "qz_core/errors/error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace qz {

enum class LogLevel { Debug, Info, Warning, Error };

/// Prepares logging for this process. To be called once, before any log line, and kept
/// alive until the process ends.
class LogSession
{
public:
    /// Lines below @p level are left out. @p instance is stated on every line.
    LogSession(LogLevel level, std::string instance);
    ~LogSession();
    LogSession(const LogSession &) = delete;
    LogSession &operator=(const LogSession &) = delete;
};

/// Whether lines of @p level are written; for callers whose fields cost work to make.
bool isLogged(LogLevel level);

/// Writes one JSON line, without ever waiting for its reader: time, level, instance, event and the
/// members of @p fields. Of each event so many lines are written in a second, and the others are
/// counted in a line of their own. Never pass a key, token or other secret.
/// @see LogLimiter, LineOutput
void log(LogLevel level, std::string_view event, nlohmann::json fields = nlohmann::json::object());

/// Reads "debug", "info", "warning" or "error".
Result<LogLevel> parseLogLevel(std::string_view name);

} // namespace qz
