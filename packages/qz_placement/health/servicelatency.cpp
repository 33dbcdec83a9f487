// Running estimates of answer times.
#include "qz_placement/health/servicelatency.h"

#include <algorithm>

namespace qz {

namespace {

constexpr double meanGain = 0.05;
/// Steps of the quantile estimate, as parts of the mean; their ratio sets the quantile.
constexpr double highStepUp = 0.45;
constexpr double highStepDown = 0.05;
constexpr int enoughAnswers = 10;
/// Of the target time, as long as there were too few answers.
constexpr double assumedMean = 0.35;
constexpr double assumedHigh = 0.7;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void ServiceLatency::record(Duration took)
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
}

bool ServiceLatency::isKnown() const
{
    return count_ >= enoughAnswers;
}

Duration ServiceLatency::mean(Duration target) const
{
    return isKnown() ? mean_ : scaled(target, assumedMean);
}

Duration ServiceLatency::high(Duration target) const
{
    return isKnown() ? high_ : scaled(target, assumedHigh);
}

} // namespace qz
