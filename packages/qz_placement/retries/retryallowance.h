// How many second tries an instance may send to a service.
#pragma once

#include "qz_core/time/clock.h"

#include <deque>

namespace qz {

/// The budget of a service, for all instances together.
struct RetryBudgetLimits
{
    double ratio_ = 0.2;                         ///< Second tries for each request.
    double slack_ = 0.0;                         ///< Second tries on top, in each window.
    Duration window_ = std::chrono::seconds(10); ///< Slides.
};

/// Load pattern: failures of many servers at once would double the load by second tries.
/// Each instance keeps to the ratio for its own requests and to its part of the slack, so
/// the sum over all instances holds without a message between them.
///
/// Invariant: in no window does the instance send more second tries than this allows.
class RetryAllowance
{
public:
    /// @p slackPart is this instance's part of the slack, 0 to 1.
    RetryAllowance(RetryBudgetLimits limits, double slackPart);

    void setSlackPart(double slackPart) { slackPart_ = slackPart; }

    void countRequest(TimePoint now);

    /// Counts a second try if it is allowed; false if it must not be sent.
    bool tryAcquire(TimePoint now);

    /// The part of the allowance that is used, 0 to 1; 1 where nothing is allowed.
    double usedShare(TimePoint now);

private:
    void forget(TimePoint now);
    double allowed() const;

    RetryBudgetLimits limits_;
    double slackPart_;
    std::deque<TimePoint> requests_; ///< Of the last window.
    std::deque<TimePoint> retries_;  ///< Of the last window.
};

} // namespace qz
