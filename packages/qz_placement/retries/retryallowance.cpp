// A sliding window of requests and second tries.
#include "qz_placement/retries/retryallowance.h"

namespace qz {

namespace {

/// Left unused, since a window at a server begins later than one here.
constexpr double usedPart = 0.85;

} // namespace

RetryAllowance::RetryAllowance(RetryBudgetLimits limits, double slackPart)
    : limits_(limits)
    , slackPart_(slackPart)
{
}

void RetryAllowance::countRequest(TimePoint now)
{
    forget(now);
    requests_.push_back(now);
}

bool RetryAllowance::tryAcquire(TimePoint now)
{
    forget(now);
    if (static_cast<double>(retries_.size()) + 1.0 > allowed()) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

double RetryAllowance::usedShare(TimePoint now)
{
    forget(now);
    return allowed() < 1.0 ? 1.0 : static_cast<double>(retries_.size()) / allowed();
}

double RetryAllowance::allowed() const
{
    return usedPart
            * (limits_.ratio_ * static_cast<double>(requests_.size())
               + limits_.slack_ * slackPart_);
}

void RetryAllowance::forget(TimePoint now)
{
    while (!requests_.empty() && now - requests_.front() > limits_.window_) {
        requests_.pop_front();
    }
    while (!retries_.empty() && now - retries_.front() > limits_.window_) {
        retries_.pop_front();
    }
}

} // namespace qz
