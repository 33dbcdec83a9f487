// Limits the retries that an instance sends to a service.
#pragma once

#include "qz_core/time/clock.h"

#include <cstddef>
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
/// the load when many servers fail at once. Each instance applies the ratio to its own requests and
/// keeps to its share of the slack, so the budget of all instances holds without communication
/// between them.
///
/// Assumed load: all requests of a service fail at once, while callers move from one instance to
/// another. So the ratio is kept in short windows too; the slack may be spent at once.
///
/// Invariant: the retries of this instance in any window do not exceed its share of the budget.
class RetryAllowance
{
public:
    /// @p slackPart is this instance's share of the slack, 0 to 1.
    RetryAllowance(RetryBudgetLimits limits, double slackPart);

    void setSlackPart(double slackPart) { slackPart_ = slackPart; }

    void countRequest(TimePoint now);

    /// Returns whether a retry may be sent, and counts it in that case.
    bool tryAcquire(TimePoint now);

    /// Returns the number of counted retries divided by the number allowed, or 1 if less than one
    /// is allowed.
    double usedShare(TimePoint now);

private:
    void removeExpired(TimePoint now);
    double allowed(std::size_t requests) const;
    static std::size_t countSince(const std::deque<TimePoint> &times, TimePoint start);

    RetryBudgetLimits limits_;
    double slackPart_;
    std::deque<TimePoint> requests_; ///< In the current window.
    std::deque<TimePoint> retries_;  ///< In the current window.
};

} // namespace qz
