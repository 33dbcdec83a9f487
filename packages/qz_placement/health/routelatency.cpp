// Updates running estimates of a route's latency.
#include "qz_placement/health/routelatency.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Weight of a new answer in mean and mean deviation.
constexpr double gain = 0.05;
/// Steps of the percentile estimate, as fractions of the mean. Their ratio of 9 to 1 makes it
/// converge on the 90th percentile.
constexpr double percentileStepUp = 0.45;
constexpr double percentileStepDown = 0.05;
/// Mean deviations above the mean from which an answer is overdue.
constexpr int overdueDeviations = 8;
/// A failure earlier than this fraction of the fastest latency is no lost answer.
constexpr double earlyFraction = 0.5;
/// Relative increase of the fastest latency with each answer, so that a single unusually fast
/// answer loses its effect.
constexpr double minDrift = 0.002;
constexpr int minAnswers = 10;
/// Minimum time for which the lowest mean and the slowest answer are kept. Longer than a flood, and
/// shorter than the hours in which the work of the requests changes.
constexpr Duration extremesPeriod = std::chrono::minutes(2);
/// Factor above the slowest answer that hardly any request exceeds while no server fails.
constexpr int upperBoundFactor = 4;
/// Ratio of the mean to the lowest mean above which the route is congested. Without queueing, the
/// mean stays within about 25 % of the lowest mean.
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

void RouteLatency::record(Duration latency, TimePoint now)
{
    if (count_ == 0) {
        mean_ = latency;
        percentile90_ = latency * 2;
        meanDeviation_ = latency / 2;
        min_ = latency;
    }
    ++count_;
    const double weight = std::max(gain, 1.0 / count_);
    meanDeviation_ += scaled(std::chrono::abs(latency - mean_) - meanDeviation_, weight);
    mean_ += scaled(latency - mean_, weight);
    percentile90_ += latency > percentile90_ ? scaled(mean_, percentileStepUp)
                                             : -scaled(mean_, percentileStepDown);
    percentile90_ = std::max(percentile90_, mean_);
    min_ = std::min(min_ + scaled(min_, minDrift), latency);
    max_ = std::max(max_, latency);
    if (!hasEnoughSamples()) {
        return;
    }
    if (now - periodStart_ > extremesPeriod) {
        previousMinMean_ = std::exchange(minMean_, mean_);
        previousMax_ = std::exchange(max_, latency);
        periodStart_ = now;
    }
    minMean_ = std::min(minMean_, mean_);
}

bool RouteLatency::isCongested() const
{
    const Duration lowestMean =
            previousMinMean_ == Duration::zero() ? minMean_ : std::min(minMean_, previousMinMean_);
    return hasEnoughSamples() && mean_ > scaled(lowestMean, congestionFactor);
}

bool RouteLatency::hasEnoughSamples() const
{
    return count_ >= minAnswers;
}

Duration RouteLatency::mean() const
{
    return hasEnoughSamples() ? mean_ : scaled(target_, assumedMean);
}

Duration RouteLatency::percentile90() const
{
    return hasEnoughSamples() ? percentile90_ : scaled(target_, assumedPercentile90);
}

Duration RouteLatency::overdueAge() const
{
    return hasEnoughSamples() ? mean_ + meanDeviation_ * overdueDeviations
                              : scaled(target_, assumedOverdueAge);
}

std::optional<Duration> RouteLatency::upperBound() const
{
    return hasEnoughSamples() ? std::optional(upperBoundFactor * std::max(max_, previousMax_))
                              : std::nullopt;
}

double RouteLatency::silenceScore(Duration age) const
{
    const Duration range = std::max(overdueAge() - mean(), Duration(1));
    const double score =
            std::chrono::duration<double>(age - mean()) / std::chrono::duration<double>(range);
    return std::clamp(score, 0.0, 1.0);
}

bool RouteLatency::isEarly(Duration latency) const
{
    return count_ == 0 || latency < min_ * earlyFraction;
}

AttemptEnd RouteLatency::makeEnd(AttemptResult result, Duration latency, bool isRepeatable) const
{
    AttemptEnd end;
    end.result_ = result;
    end.latency_ = latency;
    end.isRepeatable_ = isRepeatable;
    end.relativeLatency_ = mean() > Duration::zero()
            ? std::chrono::duration<double>(latency) / std::chrono::duration<double>(mean())
            : 1.0;
    end.silence_ = silenceScore(latency);
    end.isEarly_ = isEarly(latency);
    return end;
}

} // namespace qz
