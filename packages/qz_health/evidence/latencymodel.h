// A log-normal model of request latency.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// Returns the natural logarithm of @p latency in seconds. A latency below 0.1 ms counts as 0.1 ms.
double logSeconds(Duration latency);

/// The latency of requests to a healthy server, as a normal distribution of its logarithm. Computes
/// the log-likelihood ratio of a server that is slower by slowShift against a healthy one.
struct LatencyModel
{
    /// Shift of the mean logarithm for a slow server: a factor of 2.5.
    static constexpr double slowShift = 0.916;

    double meanLog_ = 0;   ///< Mean of the natural logarithm of the latency in seconds.
    double spreadLog_ = 1; ///< Standard deviation on the same scale; above 0.

    /// Returns the log-likelihood ratio of a completed request in nats, bounded on both sides.
    double completedLogRatio(Duration latency) const;

    /// Returns the ratio for a request in flight that was sent @p age ago; bounded, never negative.
    double pendingLogRatio(Duration age) const;
};

} // namespace qz
