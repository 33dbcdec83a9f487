// Bounds the number of log lines.
#pragma once

#include "qz_core/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace qz {

/// Lets so many lines of each event through in a second, and counts the others. An event that
/// floods the log leaves the others readable.
class LogLimiter
{
public:
    /// What was left out of an event's lines in a second that is over.
    struct LeftOut
    {
        std::string event_;
        std::uint64_t count_ = 0;
    };

    explicit LogLimiter(std::uint64_t linesPerSecond);

    /// Whether a line of @p event may be written now.
    bool admit(std::string_view event, TimePoint now);

    /// The next event of which lines were left out before the current second, if any.
    std::optional<LeftOut> takeLeftOut(TimePoint now);

private:
    struct Count
    {
        std::uint64_t second_ = 0;
        std::uint64_t written_ = 0; ///< In that second.
        std::uint64_t leftOut_ = 0; ///< Not reported yet.
    };

    const std::uint64_t linesPerSecond_;
    std::map<std::string, Count, std::less<>> counts_; ///< By event; events are a closed list.
};

} // namespace qz
