// Measures the share of a service's recent requests that failed.
#pragma once

#include "qz_core/time/clock.h"

#include <array>
#include <deque>

namespace qz {

/// Counts the results of requests in two sliding windows of three seconds and one second. The
/// shorter window shows a sudden rise of the failure rate immediately.
class FailureRateTracker
{
public:
    void record(bool isServed, TimePoint now);

    /// Returns the higher failure rate of the two windows, 0 to 1. A window with too few requests
    /// counts as 0.
    double failureRate(TimePoint now);

private:
    struct RequestEnd
    {
        TimePoint at_;
        bool isServed_;
    };
    struct Window
    {
        Duration length_;
        std::deque<RequestEnd> ends_; ///< Not older than the length.
        int failureCount_ = 0;

        void removeExpired(TimePoint now);
        double failureRate() const;
    };

    std::array<Window, 2> windows_{ { { std::chrono::seconds(3), {}, 0 },
                                      { std::chrono::seconds(1), {}, 0 } } };
};

} // namespace qz
