// The part of a service's requests that was served of late.
#pragma once

#include "qz_core/time/clock.h"

#include <deque>

namespace qz {

/// Counts the ends of requests over the last seconds.
class ServedShare
{
public:
    void record(bool isServed, TimePoint now);

    /// The part that was not served, 0 to 1; 0 with too few requests to tell.
    double unserved(TimePoint now);

private:
    struct End
    {
        TimePoint at_;
        bool isServed_;
    };
    void forget(TimePoint now);

    std::deque<End> ends_; ///< Of the window.
    int unservedCount_ = 0;
};

} // namespace qz
