// Estimates of how long requests of each kind occupy a slot.
#pragma once

#include "qz_core/time/clock.h"

#include <string>
#include <unordered_map>

namespace qz {

/// Keeps a smoothed mean and mean deviation of the service time of each kind, like the round-trip
/// time estimate of RFC 6298. A kind without its own measurements uses the estimate over all kinds.
/// @see AdmissionQueue
class ServiceTimes
{
public:
    /// Records a request of @p kind that occupied its slot for @p serviceTime.
    void record(const std::string &kind, Duration serviceTime);

    /// Returns the mean service time of @p kind; zero before the first measurement of any kind.
    Duration expected(const std::string &kind) const;

    /// Returns an upper estimate, the mean plus twice the mean deviation, which only few requests
    /// of @p kind exceed.
    Duration conservative(const std::string &kind) const;

private:
    struct Estimate
    {
        Duration mean_{};
        Duration deviation_{};
        bool isEmpty_ = true;

        void record(Duration serviceTime);
    };

    const Estimate &estimateOf(const std::string &kind) const;

    static constexpr std::size_t maxKinds = 1024; ///< Further kinds use allKinds_.

    std::unordered_map<std::string, Estimate> byKind_; ///< At most maxKinds.
    Estimate allKinds_;
};

} // namespace qz
