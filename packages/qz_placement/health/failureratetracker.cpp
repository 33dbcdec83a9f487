// Two sliding windows of requests' ends.
#include "qz_placement/health/failureratetracker.h"

#include <algorithm>

namespace qz {

namespace {

/// Ends in a window from which on their share says something.
constexpr std::size_t enoughEnds = 12;

} // namespace

void FailureRateTracker::record(bool isServed, TimePoint now)
{
    for (Window &window : windows_) {
        window.forget(now);
        window.ends_.push_back({ now, isServed });
        window.unservedCount_ += isServed ? 0 : 1;
    }
}

double FailureRateTracker::failureRate(TimePoint now)
{
    double worst = 0.0;
    for (Window &window : windows_) {
        window.forget(now);
        worst = std::max(worst, window.failureRate());
    }
    return worst;
}

double FailureRateTracker::Window::failureRate() const
{
    return ends_.size() < enoughEnds
            ? 0.0
            : static_cast<double>(unservedCount_) / static_cast<double>(ends_.size());
}

void FailureRateTracker::Window::forget(TimePoint now)
{
    while (!ends_.empty() && now - ends_.front().at_ > length_) {
        unservedCount_ -= ends_.front().isServed_ ? 0 : 1;
        ends_.pop_front();
    }
}

} // namespace qz
