// The weight of a backend server in load balancing.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_health/detection/verdict.h"

namespace qz {

/// Computes a backend server's weight, 0..1 of its fair share of requests, from successive
/// verdicts. An unhealthy verdict reduces the weight at once. After a recovery or a cold start the
/// weight ramps up gradually.
/// Invariant: the weight is at least minWeight, so that a server that is not ejected gets enough
/// requests to be evaluated.
/// @see OutlierDetector
class WeightController
{
public:
    static constexpr double minWeight = 0.02;
    static constexpr double coldWeight = 0.1;
    /// Time in which the weight rises by 1.
    static constexpr Duration rampTime = std::chrono::seconds(10);

    /// Creates a controller for a warm server, with full weight.
    WeightController() = default;

    /// Sets the weight to coldWeight, for a server that is new, restarted or re-admitted at @p now.
    void startCold(TimePoint now);

    /// Updates the weight from the latest verdict. Call it several times a second.
    void update(const Verdict &verdict, TimePoint now);

    /// Returns the weight as of the last update.
    double weight() const { return weight_; }

private:
    double weight_ = 1; ///< minWeight .. 1.
    TimePoint updatedAt_{};
};

} // namespace qz
