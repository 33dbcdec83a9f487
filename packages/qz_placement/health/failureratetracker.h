// The part of a service's requests that was served of late.
#pragma once

#include "qz_core/time/clock.h"

#include <array>
#include <deque>

namespace qz {

/// Counts the ends of requests over the last seconds, and over the last second alone, so that
/// a sudden rise of failures shows at once.
class FailureRateTracker
{
public:
    void record(bool isServed, TimePoint now);

    /// The part that was not served, 0 to 1, in the worse of the two windows; 0 with too few
    /// requests to tell.
    double failureRate(TimePoint now);

private:
    struct End
    {
        TimePoint at_;
        bool isServed_;
    };
    struct Window
    {
        Duration length_;
        std::deque<End> ends_; ///< Not older than the length.
        int unservedCount_ = 0;

        void forget(TimePoint now);
        double failureRate() const;
    };

    std::array<Window, 2> windows_{ { { std::chrono::seconds(3), {}, 0 },
                                      { std::chrono::seconds(1), {}, 0 } } };
};

} // namespace qz
