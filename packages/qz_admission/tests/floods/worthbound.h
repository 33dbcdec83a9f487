// Upper bounds of the worth that any order of service can earn from the offered work.
#pragma once

#include "workload.h"

#include <vector>

namespace qz::floods {

/// The offered work of one kind.
struct OfferedWork
{
    std::size_t rank_ = 0;
    Duration slotTime_{}; ///< Of all its requests.
    double worth_ = 0.0;  ///< Of all its requests.
};

/// Returns the worth of the best use of @p slotTime: a fractional knapsack that fills it in order
/// of worth per slot time of the kinds. No order that does not know the service times of requests
/// in advance earns more on average.
double worthUpperBound(std::vector<OfferedWork> offered, Duration slotTime);

/// Like worthUpperBound(), but first gives each rank its guaranteed share, up to the work that it
/// offers.
double worthUpperBoundWithShares(std::vector<OfferedWork> offered, Duration slotTime,
                                 const std::vector<RankShare> &ranks);

} // namespace qz::floods
