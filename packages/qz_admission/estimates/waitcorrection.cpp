// Learned corrections of predicted waits.
#include "qz_admission/estimates/waitcorrection.h"

#include <algorithm>

namespace qz {

namespace {

constexpr double gain = 1.0 / 32.0; // Of the newest ticket in the smoothed waits.

} // namespace

void WaitCorrection::record(Duration predicted, Duration actual)
{
    meanPredicted_ += gain * (static_cast<double>(predicted.count()) - meanPredicted_);
    meanActual_ += gain * (static_cast<double>(actual.count()) - meanActual_);
}

Duration WaitCorrection::corrected(Duration predicted) const
{
    if (meanPredicted_ <= 0.0) {
        return predicted;
    }
    const double factor = std::clamp(meanActual_ / meanPredicted_, 1.0, maxFactor);
    return Duration(static_cast<Duration::rep>(static_cast<double>(predicted.count()) * factor));
}

} // namespace qz
