// Whether a rank has lately had to refuse work.
#pragma once

#include "qz_core/time/clock.h"

#include <optional>

namespace qz {

/// Marks a rank as overloaded from a refusal until it has been without one for a while.
/// While it lasts there is more work than can be answered, whatever the length of the queue;
/// a long queue then only makes every answer late.
/// @see AdmissionQueue
class OverloadDetector
{
public:
    void recordRefusal(TimePoint now) { lastRefusal_ = now; }

    /// Whether a refusal was recorded within @p quiet before @p now.
    bool isOverloaded(TimePoint now, Duration quiet) const
    {
        return lastRefusal_ && now - *lastRefusal_ <= quiet;
    }

private:
    std::optional<TimePoint> lastRefusal_;
};

} // namespace qz
