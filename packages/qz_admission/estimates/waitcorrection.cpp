// Corrects predicted queue waits by the waits that were observed.
#include "qz_admission/estimates/waitcorrection.h"

#include <algorithm>

namespace qz {

namespace {

constexpr double smoothingGain = 1.0 / 32.0; // Weight of the newest wait in the means.

} // namespace

void WaitCorrection::record(Duration predicted, Duration actual)
{
    meanPredicted_ += smoothingGain * (static_cast<double>(predicted.count()) - meanPredicted_);
    meanActual_ += smoothingGain * (static_cast<double>(actual.count()) - meanActual_);
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
