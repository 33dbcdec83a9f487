// How long an ejected server stays out before it is probed.
#pragma once

#include <chrono>

namespace qz {

/// Hold-down doubles with each strike, up to a bound.
struct HoldDown
{
    static constexpr std::chrono::milliseconds base = std::chrono::seconds(10);
    static constexpr std::chrono::milliseconds maximum = std::chrono::minutes(10);
    /// A strike is taken off after this long in service.
    static constexpr std::chrono::milliseconds decayPeriod = std::chrono::minutes(5);

    /// The hold-down of the ejection that is strike number @p strikes, from 1 on.
    static std::chrono::milliseconds after(unsigned strikes)
    {
        std::chrono::milliseconds holdDown = base;
        for (unsigned i = 1; i < strikes && holdDown < maximum; ++i) {
            holdDown *= 2;
        }
        return holdDown < maximum ? holdDown : maximum;
    }
};

} // namespace qz
