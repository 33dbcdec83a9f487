// Updates running estimates of a service's latency.
#include "qz_placement/health/servicelatency.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Weight of a new answer in the mean.
constexpr double meanGain = 0.05;
/// Steps of the percentile estimate, as fractions of the mean. Their ratio of 9 to 1 makes it
/// converge on the 90th percentile.
constexpr double percentileStepUp = 0.45;
constexpr double percentileStepDown = 0.05;
/// Mean deviations above the mean from which an answer is overdue.
constexpr int overdueDeviations = 4;
constexpr int minAnswers = 10;
/// Minimum time for which a lowest mean is kept. Longer than a flood, and shorter than the hours in
/// which the work of the requests changes.
constexpr Duration minMeanPeriod = std::chrono::minutes(2);
/// Ratio of the mean to the lowest mean above which the service is congested. Without queueing,
/// the mean stays within about 25 % of the lowest mean.
constexpr double congestionFactor = 1.5;
/// Estimates with too few answers, as fractions of the target time.
constexpr double assumedMean = 0.35;
constexpr double assumedPercentile90 = 0.7;
constexpr double assumedOverdueAge = 1.0;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void ServiceLatency::record(Duration latency, TimePoint now)
{
    if (count_ == 0) {
        mean_ = latency;
        percentile90_ = latency * 2;
        meanDeviation_ = latency / 2;
    }
    ++count_;
    const double gain = std::max(meanGain, 1.0 / count_);
    meanDeviation_ += scaled(std::chrono::abs(latency - mean_) - meanDeviation_, gain);
    mean_ += scaled(latency - mean_, gain);
    percentile90_ += latency > percentile90_ ? scaled(mean_, percentileStepUp)
                                             : -scaled(mean_, percentileStepDown);
    percentile90_ = std::max(percentile90_, mean_);
    if (!hasEnoughSamples()) {
        return;
    }
    if (now - periodStart_ > minMeanPeriod) {
        previousMinMean_ = std::exchange(minMean_, mean_);
        periodStart_ = now;
    }
    minMean_ = std::min(minMean_, mean_);
}

bool ServiceLatency::isCongested() const
{
    const Duration lowestMean =
            previousMinMean_ == Duration::zero() ? minMean_ : std::min(minMean_, previousMinMean_);
    return hasEnoughSamples() && mean_ > scaled(lowestMean, congestionFactor);
}

bool ServiceLatency::hasEnoughSamples() const
{
    return count_ >= minAnswers;
}

Duration ServiceLatency::mean(Duration target) const
{
    return hasEnoughSamples() ? mean_ : scaled(target, assumedMean);
}

Duration ServiceLatency::overdueAge(Duration target) const
{
    return hasEnoughSamples() ? mean_ + meanDeviation_ * overdueDeviations
                              : scaled(target, assumedOverdueAge);
}

double ServiceLatency::silenceScore(Duration age, Duration target) const
{
    const Duration typical = mean(target);
    const Duration range = std::max<Duration>(overdueAge(target) - typical, Duration(1));
    return std::max(0.0,
                    std::chrono::duration<double>(age - typical)
                            / std::chrono::duration<double>(range));
}

Duration ServiceLatency::percentile90(Duration target) const
{
    return hasEnoughSamples() ? percentile90_ : scaled(target, assumedPercentile90);
}

} // namespace qz
