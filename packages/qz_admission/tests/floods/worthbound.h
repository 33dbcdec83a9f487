// The most worth that any order of service could earn from the offered work.
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

/// A fractional knapsack over @p slotTime by worth per slot time of the kinds. No order that
/// doesn't know a request's service time beforehand earns more on average.
double worthBound(std::vector<OfferedWork> offered, Duration slotTime);

/// The same after each rank was given its stated share, as far as it offers so much.
double worthBoundWithShares(std::vector<OfferedWork> offered, Duration slotTime,
                            const std::vector<RankShare> &ranks);

} // namespace qz::floods
