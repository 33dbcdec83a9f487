// Solves fractional knapsack problems for the upper bounds of worth.
#include "worthbound.h"

#include <algorithm>

namespace qz::floods {

namespace {

double worthPerSlotTime(const OfferedWork &work)
{
    return work.worth_ / std::max(1.0, static_cast<double>(work.slotTime_.count()));
}

/// Moves up to @p slotTime out of @p work, reduces both by that time and returns its worth.
double takeWork(OfferedWork &work, Duration &slotTime)
{
    const Duration taken = std::min(work.slotTime_, slotTime);
    const double worth = worthPerSlotTime(work) * static_cast<double>(taken.count());
    work.slotTime_ -= taken;
    work.worth_ -= worth;
    slotTime -= taken;
    return worth;
}

void sortByWorthPerSlotTime(std::vector<OfferedWork> &offered)
{
    std::sort(offered.begin(), offered.end(), [](const OfferedWork &a, const OfferedWork &b) {
        return worthPerSlotTime(a) > worthPerSlotTime(b);
    });
}

} // namespace

double worthUpperBound(std::vector<OfferedWork> offered, Duration slotTime)
{
    sortByWorthPerSlotTime(offered);
    double worth = 0.0;
    for (OfferedWork &work : offered) {
        worth += takeWork(work, slotTime);
    }
    return worth;
}

double worthUpperBoundWithShares(std::vector<OfferedWork> offered, Duration slotTime,
                                 const std::vector<RankShare> &ranks)
{
    sortByWorthPerSlotTime(offered);
    double worth = 0.0;
    Duration unreserved = slotTime;
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        const double share = static_cast<double>(slotTime.count()) * ranks[rank].share_;
        Duration reserved(static_cast<Duration::rep>(share));
        unreserved -= reserved;
        for (OfferedWork &work : offered) {
            if (work.rank_ == rank) {
                worth += takeWork(work, reserved);
            }
        }
        unreserved += reserved;
    }
    return worth + worthUpperBound(std::move(offered), unreserved);
}

} // namespace qz::floods
