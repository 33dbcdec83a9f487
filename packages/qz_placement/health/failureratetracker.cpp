// Counts request results in sliding windows.
#include "qz_placement/health/failureratetracker.h"

#include <algorithm>

namespace qz {

namespace {

/// Results that a window needs for a meaningful failure rate.
constexpr std::size_t minResults = 12;

} // namespace

void FailureRateTracker::record(bool isServed, TimePoint now)
{
    for (Window &window : windows_) {
        window.removeExpired(now);
        window.ends_.push_back({ now, isServed });
        window.failureCount_ += isServed ? 0 : 1;
    }
}

double FailureRateTracker::failureRate(TimePoint now)
{
    double highest = 0.0;
    for (Window &window : windows_) {
        window.removeExpired(now);
        highest = std::max(highest, window.failureRate());
    }
    return highest;
}

double FailureRateTracker::Window::failureRate() const
{
    return ends_.size() < minResults
            ? 0.0
            : static_cast<double>(failureCount_) / static_cast<double>(ends_.size());
}

void FailureRateTracker::Window::removeExpired(TimePoint now)
{
    while (!ends_.empty() && now - ends_.front().at_ > length_) {
        failureCount_ -= ends_.front().isServed_ ? 0 : 1;
        ends_.pop_front();
    }
}

} // namespace qz
