// The logarithmic latency model that evidence is weighed by.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// The natural logarithm of @p latency in seconds; latencies under 0.1 ms count as that.
double logSeconds(Duration latency);

/// Latency of healthy work, as a normal distribution of its logarithm, and the likelihood
/// ratio of a server that is slower by slowShift.
struct LatencyModel
{
    /// The shift that "slow" stands for: a factor of 2.5.
    static constexpr double slowShift = 0.916;

    double meanLog_ = 0;
    double spreadLog_ = 1; ///< Above 0.

    /// The log-likelihood ratio of an ended request, in nats, bounded on both sides.
    double completedLogRatio(Duration latency) const;

    /// The same for a request that has run for @p age and has not ended; never negative.
    double pendingLogRatio(Duration age) const;
};

} // namespace qz
