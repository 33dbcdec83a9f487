// The occupation of a backend server's slots, as input of wait estimates.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// What the running requests still need of the slots.
struct SlotLoad
{
    int slots_ = 1;        ///< At least 1.
    Duration remaining_{}; ///< Expected slot time until all running requests have ended.
    bool hasFreeSlot_ = true;

    /// The expected wait for @p ahead of slot time at @p share of all slots.
    Duration waitFor(Duration ahead, double share = 1.0) const
    {
        const double queued = static_cast<double>(ahead.count()) / (share * slots_);
        return remaining_ / slots_ + Duration(static_cast<Duration::rep>(queued));
    }
};

} // namespace qz
