// Implements the token bucket for retries.
#include "qz_entries/retries/retrybudget.h"

#include <algorithm>

namespace qz {

RetryBudget::RetryBudget(RetryTokenLimits limits, TimePoint now)
    : limits_(limits)
    , updatedAt_(now)
{
}

void RetryBudget::recordSuccess()
{
    add(limits_.earnedPerSuccess_);
}

bool RetryBudget::tryAcquire(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - updatedAt_;
    updatedAt_ = now;
    add(elapsed.count() * limits_.earnedPerSecond_);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void RetryBudget::add(double tokens)
{
    tokens_ = std::min(limits_.maxTokens_, tokens_ + tokens);
}

} // namespace qz
