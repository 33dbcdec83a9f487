// Detects from recent refusals that a rank is overloaded.
#pragma once

#include "qz_core/time/clock.h"

#include <optional>

namespace qz {

/// Considers a rank overloaded from a refusal until no refusal was recorded for a quiet period.
/// During an overload more work arrives than can be answered, however long the queue is. A longer
/// queue would only make every answer late.
/// @see AdmissionQueue
class OverloadDetector
{
public:
    void recordRefusal(TimePoint now) { lastRefusal_ = now; }

    /// Returns whether a refusal was recorded at most @p quietPeriod before @p now.
    bool isOverloaded(TimePoint now, Duration quietPeriod) const
    {
        return lastRefusal_ && now - *lastRefusal_ <= quietPeriod;
    }

private:
    std::optional<TimePoint> lastRefusal_;
};

} // namespace qz
