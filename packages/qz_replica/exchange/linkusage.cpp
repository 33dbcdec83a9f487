// Converts sent bytes to the time that the link needs for them.
#include "qz_replica/exchange/linkusage.h"

#include <algorithm>
#include <cassert>

namespace qz {

namespace {

/// Maximum time for which other messages wait behind tables, far below the limits after which
/// heartbeats and calls to the store are given up.
constexpr Duration maxBusyTime = std::chrono::milliseconds(200);

constexpr double bitsPerByte = 8.0;

} // namespace

LinkUsage::LinkUsage(double capacity)
    : capacity_(capacity)
{
    assert(capacity_ > 0.0);
}

Duration LinkUsage::transferTime(std::size_t bytes) const
{
    // Mbit/s are bits per microsecond.
    const std::chrono::duration<double, std::micro> time(double(bytes) * bitsPerByte / capacity_);
    return std::chrono::duration_cast<Duration>(time);
}

std::size_t LinkUsage::availableMessages(std::size_t bytes, TimePoint now) const
{
    const Duration backlog = std::max(Duration::zero(), busyUntil_ - now);
    if (backlog >= maxBusyTime) {
        return 0;
    }
    const Duration each = std::max(Duration(1), transferTime(bytes));
    const auto fitting = static_cast<std::size_t>((maxBusyTime - backlog) / each);
    return backlog == Duration::zero() ? std::max<std::size_t>(fitting, 1) : fitting;
}

void LinkUsage::recordSent(std::size_t bytes, TimePoint now)
{
    busyUntil_ = std::max(busyUntil_, now) + transferTime(bytes);
}

} // namespace qz
