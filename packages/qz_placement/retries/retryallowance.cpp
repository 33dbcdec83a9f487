// Token bucket of an instance for the retries of a service.
#include "qz_placement/retries/retryallowance.h"

#include <algorithm>

namespace qz {

namespace {

/// Fraction of the budget that may be spent. The rest is a reserve, since the same window starts
/// later at a backend server than here, and instances learn of a moved part of the slack at
/// different times.
constexpr double spendableFraction = 0.85;
/// Fraction of the slack that can be saved. The rest is earned in the course of each window.
constexpr double savedFraction = 0.4;
/// Retries that an instance with a part of the slack can save, however small the part is. The few
/// instances that have one are within the reserve.
constexpr double leastSlackCapacity = 1.0;
/// What requests earn can be saved for the window divided by this.
constexpr int savedWindowDivisor = 12;

} // namespace

RetryAllowance::RetryAllowance(RetryBudgetLimits limits, TimePoint now)
    : limits_(limits)
    , updatedAt_(now)
{
}

void RetryAllowance::setSlackPart(double slackPart, TimePoint now)
{
    update(now);
    if (slackPart < slackPart_) {
        saved_ = std::min(saved_, slackCapacity(slackPart));
    }
    slackPart_ = slackPart;
}

void RetryAllowance::countRequest(TimePoint now)
{
    update(now);
    recentRequests_.push_back(now);
    save(spendableFraction * limits_.ratio_);
}

bool RetryAllowance::tryAcquire(TimePoint now)
{
    update(now);
    if (saved_ < 1.0) {
        return false;
    }
    saved_ -= 1.0;
    return true;
}

double RetryAllowance::usedShare(TimePoint now)
{
    update(now);
    const double limit = capacity();
    return limit < 1.0 ? 1.0 : 1.0 - saved_ / limit;
}

void RetryAllowance::update(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - updatedAt_;
    const std::chrono::duration<double> window = limits_.window_;
    updatedAt_ = now;
    while (!recentRequests_.empty()
           && now - recentRequests_.front() > limits_.window_ / savedWindowDivisor) {
        recentRequests_.pop_front();
    }
    save(spendableFraction * (1.0 - savedFraction) * limits_.slack_ * slackPart_
         * (elapsed / window));
}

void RetryAllowance::save(double retries)
{
    saved_ = std::min(saved_ + retries, capacity());
}

double RetryAllowance::slackCapacity(double slackPart) const
{
    return spendableFraction * savedFraction * limits_.slack_ * slackPart;
}

double RetryAllowance::capacity() const
{
    const double earnedRecently =
            spendableFraction * limits_.ratio_ * static_cast<double>(recentRequests_.size());
    const double least = slackPart_ > 0.0 ? leastSlackCapacity : 0.0;
    return earnedRecently + std::max(least, slackCapacity(slackPart_));
}

} // namespace qz
