// How long the requests of a service take.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// The mean and a high quantile of the answer times of a service's servers together. Until
/// there were answers both come from the target time of its requests.
class ServiceLatency
{
public:
    void record(Duration took, TimePoint now);

    /// There were enough answers to tell.
    bool hasEnoughSamples() const;

    /// Mean time of an answer; @p target is that of the request that asks.
    Duration mean(Duration target) const;

    /// A time that about nine in ten answers do not exceed.
    Duration percentile90(Duration target) const;

    /// Answers take much longer than they did within the last minutes: requests wait for the
    /// servers in use.
    bool isCongested() const;

private:
    Duration mean_{ 0 }; ///< Zero: no answer yet.
    Duration high_{ 0 };
    /// The lowest mean of the current period and of the one before; zero: none yet.
    Duration lowest_{ 0 };
    Duration lowestBefore_{ 0 };
    TimePoint periodStart_{};
    int count_ = 0;
};

} // namespace qz
