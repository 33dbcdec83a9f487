// Limits the retries that an instance sends to a service.
#pragma once

#include "qz_core/time/clock.h"

#include <deque>

namespace qz {

/// Retry budget of a service over all instances.
struct RetryBudgetLimits
{
    double ratio_ = 0.2;                         ///< Retries per request.
    double slack_ = 0.0;                         ///< Additional retries in each window.
    Duration window_ = std::chrono::seconds(10); ///< Length of the sliding window.
};

/// This instance's share of the retry budget of one service. Without a limit, retries would double
/// the load when many servers fail at once.
///
/// A token bucket: each request of this instance earns the ratio of a retry, and time earns this
/// instance's part of the slack. A bucket starts empty and saves only a fraction of what is earned
/// in a window. So the budget of all instances holds in each window without communication between
/// them, whatever their number, also while instances are restarted and parts of the slack move from
/// one to another: what all of them have saved at the start of a window, and what they earn within
/// it, stays within the budget as long as the parts in force at the same time do not exceed 1 in
/// total.
class RetryAllowance
{
public:
    /// Starts without a part of the slack.
    RetryAllowance(RetryBudgetLimits limits, TimePoint now);

    /// Sets this instance's part of the slack, 0 to 1. What is saved beyond a smaller part is lost.
    void setSlackPart(double slackPart, TimePoint now);

    void countRequest(TimePoint now);

    /// Returns whether a retry may be sent, and counts it in that case.
    bool tryAcquire(TimePoint now);

    /// Returns the used share of what can be saved, 0 to 1.
    double usedShare(TimePoint now);

private:
    /// Adds the slack earned up to @p now and drops what exceeds the capacity at that time.
    void update(TimePoint now);
    void save(double retries);
    /// Returns how much of the slack can be saved with the part @p slackPart of it.
    double slackCapacity(double slackPart) const;
    double capacity() const;

    RetryBudgetLimits limits_;
    double slackPart_ = 0.0;
    double saved_ = 0.0;  ///< Retries that may be sent, 0 to capacity().
    TimePoint updatedAt_; ///< Time up to which the slack earned is included in saved_.
    std::deque<TimePoint> recentRequests_; ///< Those whose retries may still be saved.
};

} // namespace qz
