// Running estimates of answer times.
#include "qz_placement/health/servicelatency.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

constexpr double meanGain = 0.05;
/// Steps of the quantile estimate, as parts of the mean; their ratio sets the quantile.
constexpr double highStepUp = 0.45;
constexpr double highStepDown = 0.05;
constexpr int enoughAnswers = 10;
/// How long the lowest mean counts, at least. Longer than a flood, shorter than the hours over
/// which the work itself changes.
constexpr Duration lowestPeriod = std::chrono::minutes(2);
/// Of the lowest mean. The mean of answers that do not wait stays within about a quarter of it.
constexpr double crowdedFactor = 1.5;
/// Of the target time, as long as there were too few answers.
constexpr double assumedMean = 0.35;
constexpr double assumedHigh = 0.7;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void ServiceLatency::record(Duration took, TimePoint now)
{
    if (count_ == 0) {
        mean_ = took;
        high_ = took * 2;
    }
    ++count_;
    const double gain = std::max(meanGain, 1.0 / count_);
    mean_ += scaled(took - mean_, gain);
    high_ += took > high_ ? scaled(mean_, highStepUp) : -scaled(mean_, highStepDown);
    high_ = std::max(high_, mean_);
    if (!hasEnoughSamples()) {
        return;
    }
    if (now - periodStart_ > lowestPeriod) {
        lowestBefore_ = std::exchange(lowest_, mean_);
        periodStart_ = now;
    }
    lowest_ = std::min(lowest_, mean_);
}

bool ServiceLatency::isCongested() const
{
    const Duration lowest =
            lowestBefore_ == Duration::zero() ? lowest_ : std::min(lowest_, lowestBefore_);
    return hasEnoughSamples() && mean_ > scaled(lowest, crowdedFactor);
}

bool ServiceLatency::hasEnoughSamples() const
{
    return count_ >= enoughAnswers;
}

Duration ServiceLatency::mean(Duration target) const
{
    return hasEnoughSamples() ? mean_ : scaled(target, assumedMean);
}

Duration ServiceLatency::percentile90(Duration target) const
{
    return hasEnoughSamples() ? high_ : scaled(target, assumedHigh);
}

} // namespace qz
