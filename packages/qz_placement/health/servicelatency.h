// Estimates the latency of a service.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// Estimates the mean and the 90th percentile of the answer times of all servers of a service. With
/// too few answers, both are fractions of the requests' target time.
class ServiceLatency
{
public:
    void record(Duration latency, TimePoint now);

    /// Whether there were enough answers for an estimate.
    bool hasEnoughSamples() const;

    /// Returns the mean latency. @p target is the target time of the request to place.
    Duration mean(Duration target) const;

    /// Returns the latency that about 90 % of the answers do not exceed.
    Duration percentile90(Duration target) const;

    /// Returns the age from which an unanswered request is overdue: only about one answer in a
    /// hundred takes longer. Computed from mean and mean deviation, as the retransmission timeout
    /// of TCP is (RFC 6298).
    Duration overdueAge(Duration target) const;

    /// Returns the evidence that a request without an answer at @p age will never get one: 0 up to
    /// the mean latency, 1 at overdueAge(), and in proportion between and beyond.
    double silenceScore(Duration age, Duration target) const;

    /// Whether the mean latency is much higher than its minimum over the last minutes, which shows
    /// that requests queue at the servers in use.
    bool isCongested() const;

private:
    Duration mean_{ 0 }; ///< Zero: no answer yet.
    Duration percentile90_{ 0 };
    Duration meanDeviation_{ 0 };
    /// Minimum of the mean in the current period and in the previous one; zero: none yet.
    Duration minMean_{ 0 };
    Duration previousMinMean_{ 0 };
    TimePoint periodStart_{};
    int count_ = 0;
};

} // namespace qz
