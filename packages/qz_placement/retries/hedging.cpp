// Relates the age of an attempt to the share of the retry budget that it may use.
#include "qz_placement/retries/hedging.h"

#include <algorithm>

namespace qz {

namespace {

/// Share of the retry budget for attempts that are not overdue. The rest is kept for failures.
constexpr double hedgingBudgetShare = 0.5;

} // namespace

bool shouldHedge(const HedgingCandidate &candidate)
{
    if (candidate.isServerSuspect_ && candidate.age_ >= candidate.meanLatency_) {
        return true;
    }
    const Duration latest = candidate.isCongested_
            ? candidate.overdueAge_
            : std::min(candidate.overdueAge_, candidate.target_);
    if (candidate.age_ >= latest || candidate.isCongested_) {
        return candidate.age_ >= latest;
    }
    const Duration earliest = std::clamp(candidate.target_ - candidate.percentile90_,
                                         std::min(candidate.meanLatency_, latest), latest);
    const std::chrono::duration<double> age = candidate.age_ - earliest;
    const std::chrono::duration<double> range = latest - earliest;
    return age.count() > 0.0 && candidate.usedBudgetShare_ < hedgingBudgetShare * (age / range);
}

} // namespace qz
