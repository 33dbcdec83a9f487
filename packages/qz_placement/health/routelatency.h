// Estimates how long the requests of one route take at one service.
#pragma once

#include "qz_placement/health/serverhealth.h"

#include <optional>

namespace qz {

/// Estimates the distribution of the answer times of one route's requests over all servers of a
/// service. Routes are kept apart because their requests can differ a thousandfold in processing
/// time: in a joint estimate, many short requests would make every long one look unanswered.
///
/// With too few answers, the estimates are fractions of the route's target time.
class RouteLatency
{
public:
    void setTarget(Duration target) { target_ = target; }

    void record(Duration latency, TimePoint now);

    /// Whether there were enough answers for an estimate.
    bool hasEnoughSamples() const;

    Duration mean() const;

    /// Returns the latency that about 90 % of the answers do not exceed.
    Duration percentile90() const;

    /// Returns the age from which an unanswered request is overdue: hardly any answer takes longer.
    /// Computed from mean and mean deviation, as the retransmission timeout of TCP is (RFC 6298).
    Duration overdueAge() const;

    /// Returns a time within which nearly every request is answered, also the rare slow ones: a
    /// multiple of the slowest answer of the last minutes. Nothing with too few answers.
    std::optional<Duration> upperBound() const;

    /// Returns the evidence that a request without an answer at @p age will never get one: 0 up to
    /// the mean latency, 1 at overdueAge(), in proportion between, and not above 1.
    double silenceScore(Duration age) const;

    /// Whether a failure after @p latency came so early that the server refused the request rather
    /// than lost its answer. Compared with the fastest answer, because queueing increases the mean.
    bool isEarly(Duration latency) const;

    /// Whether the mean latency is much higher than its minimum over the last minutes, which shows
    /// that requests queue at the servers in use.
    bool isCongested() const;

    /// Describes the end of a request for ServerHealth::record().
    AttemptEnd makeEnd(AttemptResult result, Duration latency, bool isRepeatable) const;

private:
    Duration target_{ 0 };
    Duration mean_{ 0 };
    Duration percentile90_{ 0 };
    Duration meanDeviation_{ 0 };
    Duration min_{ 0 }; ///< Rises slowly; zero: no answer yet.
    /// Minimum of the mean in the current period and in the previous one; zero: none yet.
    Duration minMean_{ 0 };
    Duration previousMinMean_{ 0 };
    /// Slowest answer in the current period and in the previous one.
    Duration max_{ 0 };
    Duration previousMax_{ 0 };
    TimePoint periodStart_{};
    int count_ = 0;
};

} // namespace qz
