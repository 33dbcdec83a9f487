#include "qz_health/weights/weightcontroller.h"

#include <algorithm>

namespace qz {

namespace {

/// Returns the highest weight that @p verdict allows; below 0.1 if the server is suspect.
double targetOf(const Verdict &verdict)
{
    constexpr double suspectWeight = 0.08;
    if (!verdict.isSuspect()) {
        return 1;
    }
    const double certainty = (verdict.confidence_ - Verdict::weightConfidence)
            / (Verdict::ejectConfidence - Verdict::weightConfidence);
    return std::max(WeightController::minWeight, suspectWeight * (1 - certainty));
}

} // namespace

void WeightController::startCold(TimePoint now)
{
    weight_ = coldWeight;
    updatedAt_ = now;
}

void WeightController::update(const Verdict &verdict, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - updatedAt_).count();
    const double ramp = elapsed / std::chrono::duration<double>(rampTime).count();
    updatedAt_ = now;
    const double target = targetOf(verdict);
    weight_ = std::min(target, weight_ + ramp);
    weight_ = std::clamp(weight_, minWeight, 1.0);
}

} // namespace qz
