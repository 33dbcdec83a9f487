// A token bucket for retries.
#include "qz_entries/retries/retrybudget.h"

#include <algorithm>

namespace qz {

RetryBudget::RetryBudget(RetryLimits limits, TimePoint now)
    : limits_(limits)
    , updatedAt_(now)
{
}

void RetryBudget::recordSuccess()
{
    add(limits_.perSuccess_);
}

bool RetryBudget::take(TimePoint now)
{
    const std::chrono::duration<double> passed = now - updatedAt_;
    updatedAt_ = now;
    add(passed.count() * limits_.floorPerSecond_);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void RetryBudget::add(double tokens)
{
    tokens_ = std::min(limits_.maxSaved_, tokens_ + tokens);
}

} // namespace qz
