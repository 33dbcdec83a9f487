// Counts requests and retries in a sliding window.
#include "qz_placement/retries/retryallowance.h"

#include <algorithm>

namespace qz {

namespace {

/// Fraction of the budget that may be spent. The rest is a reserve, since the same window starts
/// later at a backend server than here.
constexpr double spendableFraction = 0.85;
/// The ratio also applies to a window shorter by this divisor. Otherwise an instance could spend
/// at once what it earned before another one took over its callers and earns the same again.
constexpr int shortWindowDivisor = 8;

} // namespace

RetryAllowance::RetryAllowance(RetryBudgetLimits limits, double slackPart)
    : limits_(limits)
    , slackPart_(slackPart)
{
}

void RetryAllowance::countRequest(TimePoint now)
{
    removeExpired(now);
    requests_.push_back(now);
}

bool RetryAllowance::tryAcquire(TimePoint now)
{
    removeExpired(now);
    const TimePoint shortStart = now - limits_.window_ / shortWindowDivisor;
    if (static_cast<double>(retries_.size()) + 1.0 > allowed(requests_.size())
        || static_cast<double>(countSince(retries_, shortStart)) + 1.0
                > allowed(countSince(requests_, shortStart))) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

double RetryAllowance::usedShare(TimePoint now)
{
    removeExpired(now);
    const double limit = allowed(requests_.size());
    return limit < 1.0 ? 1.0 : static_cast<double>(retries_.size()) / limit;
}

double RetryAllowance::allowed(std::size_t requests) const
{
    return spendableFraction
            * (limits_.ratio_ * static_cast<double>(requests) + limits_.slack_ * slackPart_);
}

std::size_t RetryAllowance::countSince(const std::deque<TimePoint> &times, TimePoint start)
{
    return static_cast<std::size_t>(times.end()
                                    - std::upper_bound(times.begin(), times.end(), start));
}

void RetryAllowance::removeExpired(TimePoint now)
{
    while (!requests_.empty() && now - requests_.front() > limits_.window_) {
        requests_.pop_front();
    }
    while (!retries_.empty() && now - retries_.front() > limits_.window_) {
        retries_.pop_front();
    }
}

} // namespace qz
