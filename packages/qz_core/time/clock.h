// The only source of time for decisions. Packages take a Clock (or a TimePoint) and never
// ask the operating system themselves, so that a test can pause and advance time.
#pragma once

#include <chrono>
#include <cstdint>

namespace qz {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the whole milliseconds of @p duration, for logs and messages.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// A monotonic clock of one process. Its values mean nothing to another process: what
/// crosses a link is a remaining Duration, never a TimePoint.
/// @see EventLoop, ManualClock
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    /// The current time. Never falls.
    virtual TimePoint now() const = 0;
};

} // namespace qz
