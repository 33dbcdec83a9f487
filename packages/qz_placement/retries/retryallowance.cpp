// Counts requests and retries in a sliding window.
#include "qz_placement/retries/retryallowance.h"

namespace qz {

namespace {

/// Fraction of the budget that may be spent. The rest is a reserve, since the same window starts
/// later at a backend server than here.
constexpr double spendableFraction = 0.85;

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
    if (static_cast<double>(retries_.size()) + 1.0 > allowed()) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

double RetryAllowance::usedShare(TimePoint now)
{
    removeExpired(now);
    return allowed() < 1.0 ? 1.0 : static_cast<double>(retries_.size()) / allowed();
}

double RetryAllowance::allowed() const
{
    return spendableFraction
            * (limits_.ratio_ * static_cast<double>(requests_.size())
               + limits_.slack_ * slackPart_);
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
