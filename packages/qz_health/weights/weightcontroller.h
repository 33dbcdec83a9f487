// The share of work that a backend server gets.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_health/detection/verdict.h"

namespace qz {

/// Turns verdicts over time into a weight, 0..1 of a fair share. Trouble lowers it at once,
/// recovery raises it step by step, a cold server starts low and ramps up.
/// Invariant: the weight is never below minWeight, so that a server that is not ejected keeps
/// giving evidence.
/// @see OutlierDetector
class WeightController
{
public:
    static constexpr double minWeight = 0.02;
    static constexpr double coldWeight = 0.1;
    static constexpr Duration rampTime = std::chrono::seconds(10);

    /// A warm server of full weight.
    WeightController() = default;

    /// The server is cold from @p now on: new, restarted or re-admitted.
    void startCold(TimePoint now);

    /// Takes the newest verdict, a few times a second.
    void update(const Verdict &verdict, TimePoint now);

    /// The weight as of the last update, at least minWeight.
    double weight() const { return weight_; }

private:
    double weight_ = 1; ///< minWeight .. 1.
    TimePoint updatedAt_{};
};

} // namespace qz
