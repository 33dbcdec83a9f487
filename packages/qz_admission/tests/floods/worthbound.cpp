// Fractional knapsacks.
#include "worthbound.h"

#include <algorithm>

namespace qz::floods {

namespace {

double density(const OfferedWork &work)
{
    return work.worth_ / std::max(1.0, static_cast<double>(work.slotTime_.count()));
}

/// Takes up to @p slotTime of @p work out of it; returns the worth taken.
double take(OfferedWork &work, Duration &slotTime)
{
    const Duration taken = std::min(work.slotTime_, slotTime);
    const double worth = density(work) * static_cast<double>(taken.count());
    work.slotTime_ -= taken;
    work.worth_ -= worth;
    slotTime -= taken;
    return worth;
}

void sortByDensity(std::vector<OfferedWork> &offered)
{
    std::sort(offered.begin(), offered.end(),
              [](const OfferedWork &a, const OfferedWork &b) { return density(a) > density(b); });
}

} // namespace

double worthBound(std::vector<OfferedWork> offered, Duration slotTime)
{
    sortByDensity(offered);
    double worth = 0.0;
    for (OfferedWork &work : offered) {
        worth += take(work, slotTime);
    }
    return worth;
}

double worthBoundWithShares(std::vector<OfferedWork> offered, Duration slotTime,
                            const std::vector<RankShare> &ranks)
{
    sortByDensity(offered);
    double worth = 0.0;
    Duration free = slotTime;
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        const double share = static_cast<double>(slotTime.count()) * ranks[rank].share_;
        Duration kept(static_cast<Duration::rep>(share));
        free -= kept;
        for (OfferedWork &work : offered) {
            if (work.rank_ == rank) {
                worth += take(work, kept);
            }
        }
        free += kept;
    }
    return worth + worthBound(std::move(offered), free);
}

} // namespace qz::floods
