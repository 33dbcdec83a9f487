// Counts of log lines by event and second.
#include "qz_core/logging/loglimiter.h"

namespace qz {

namespace {

std::uint64_t secondOf(TimePoint now)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
}

} // namespace

LogLimiter::LogLimiter(std::uint64_t linesPerSecond)
    : linesPerSecond_(linesPerSecond)
{
}

bool LogLimiter::admit(std::string_view event, TimePoint now)
{
    auto found = counts_.find(event);
    if (found == counts_.end()) {
        found = counts_.emplace(std::string(event), Count{}).first;
    }
    Count &count = found->second;
    if (count.second_ != secondOf(now)) {
        count.second_ = secondOf(now);
        count.written_ = 0;
    }
    if (count.written_ < linesPerSecond_) {
        ++count.written_;
        return true;
    }
    ++count.leftOut_;
    return false;
}

std::optional<LogLimiter::LeftOut> LogLimiter::takeLeftOut(TimePoint now)
{
    for (auto &[event, count] : counts_) {
        if (count.leftOut_ > 0 && count.second_ != secondOf(now)) {
            LeftOut leftOut{ event, count.leftOut_ };
            count.leftOut_ = 0;
            return leftOut;
        }
    }
    return std::nullopt;
}

} // namespace qz
