// Decides when a gate probes a suspect backend server.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_health/detection/verdict.h"

namespace qz {

/// Allows probes only while the verdict makes the server suspect. A minimum spacing and a token
/// bucket keep the load on the server low.
/// @see ServerEvidence::recordProbe
class ProbeScheduler
{
public:
    /// Returns true if a probe is to be sent now; the probe then counts as sent. There is at most
    /// one probe in flight.
    bool shouldProbe(const Verdict &verdict, TimePoint now);

    /// The probe in flight has ended.
    void probeEnded() { isProbing_ = false; }

private:
    static constexpr Duration spacing = std::chrono::milliseconds(150);
    /// Time in which the token bucket gains one token.
    static constexpr Duration refillPeriod = std::chrono::seconds(1);
    static constexpr double burst = 20; ///< Capacity of the token bucket.

    double tokens_ = burst; ///< 0 .. burst.
    TimePoint refilledAt_{};
    TimePoint nextProbe_{};
    bool isProbing_ = false;
};

} // namespace qz
