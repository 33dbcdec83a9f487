// The time for which an ejected server is not probed.
#pragma once

#include <chrono>

namespace qz {

/// The hold-down doubles with each recent ejection, up to a maximum.
struct HoldDown
{
    static constexpr std::chrono::milliseconds base = std::chrono::seconds(10);
    static constexpr std::chrono::milliseconds maximum = std::chrono::minutes(10);
    /// Time in service after which the number of recent ejections decreases by one.
    static constexpr std::chrono::milliseconds decayPeriod = std::chrono::minutes(5);

    /// Returns the hold-down after an ejection. @p recentEjections includes this ejection, so it is
    /// at least 1.
    static std::chrono::milliseconds after(unsigned recentEjections)
    {
        std::chrono::milliseconds holdDown = base;
        for (unsigned i = 1; i < recentEjections && holdDown < maximum; ++i) {
            holdDown *= 2;
        }
        return holdDown < maximum ? holdDown : maximum;
    }
};

} // namespace qz
