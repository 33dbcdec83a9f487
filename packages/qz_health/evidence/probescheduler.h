// When a gate probes its backend server to decide a doubt.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_health/detection/verdict.h"

namespace qz {

/// Spends probes only while a verdict is in doubt, spaced apart, from a budget that refills
/// slowly, so that a server is never loaded much by them.
/// @see ServerEvidence::recordProbe
class ProbeScheduler
{
public:
    /// Whether to send a probe now; if so, it counts as sent. One probe at a time.
    bool shouldProbe(const Verdict &verdict, TimePoint now);

    /// The probe ended.
    void probeEnded() { isProbing_ = false; }

private:
    static constexpr Duration spacing = std::chrono::milliseconds(150);
    static constexpr Duration refillPeriod = std::chrono::seconds(1);
    static constexpr double burst = 20;

    double tokens_ = burst; ///< 0 .. burst.
    TimePoint refilledAt_{};
    TimePoint nextProbe_{};
    bool isProbing_ = false;
};

} // namespace qz
