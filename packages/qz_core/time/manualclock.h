// The clock of tests and of embedders that drive time themselves.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// A clock that stands still until it is advanced.
/// @see Clock
class ManualClock : public Clock
{
public:
    TimePoint now() const override { return now_; }

    /// Moves time forward by @p step, which must not be negative.
    void advance(Duration step) { now_ += step; }

private:
    TimePoint now_{ std::chrono::hours(1) };
};

} // namespace qz
