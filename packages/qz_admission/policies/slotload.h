// The current load of a backend server's slots, used to estimate waits.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// The slots and the work that the running requests still have to do.
struct SlotLoad
{
    int slots_ = 1; ///< At least 1.
    /// Sum of the expected remaining times of the running requests; zero if a slot is free.
    Duration remaining_{};
    bool hasFreeSlot_ = true;

    /// Returns the expected wait behind @p queuedWork, in slot time, if @p share (above 0, at most
    /// 1) of all slots serves it.
    Duration waitFor(Duration queuedWork, double share = 1.0) const
    {
        const double queued = static_cast<double>(queuedWork.count()) / (share * slots_);
        return remaining_ / slots_ + Duration(static_cast<Duration::rep>(queued));
    }
};

} // namespace qz
