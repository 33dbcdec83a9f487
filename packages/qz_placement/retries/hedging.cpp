// Relates the age of an attempt to the share of the retry budget that it may use.
#include "qz_placement/retries/hedging.h"

#include <algorithm>

namespace qz {

bool shouldHedge(const HedgingCandidate &candidate)
{
    if (candidate.isServerSuspect_ && candidate.age_ >= candidate.meanLatency_) {
        return true;
    }
    const Duration latest = std::min(candidate.overdueAge_, candidate.target_);
    const Duration earliest = std::clamp(candidate.target_ - candidate.percentile90_,
                                         std::min(candidate.meanLatency_, latest), latest);
    if (candidate.age_ >= latest) {
        return true;
    }
    const std::chrono::duration<double> age = candidate.age_ - earliest;
    return age.count() > 0.0
            && candidate.usedBudgetShare_ < age / std::chrono::duration<double>(latest - earliest);
}

} // namespace qz
