// How long requests of each kind occupy a slot, as measured by the queue that runs them.
#pragma once

#include "qz_core/time/clock.h"

#include <string>
#include <unordered_map>

namespace qz {

/// Smoothed service times by kind: a mean and a mean deviation, as in the round trip
/// estimate of RFC 6298. A kind that was never measured is taken for the mean of all kinds.
/// @see AdmissionQueue
class ServiceTimes
{
public:
    void record(const std::string &kind, Duration used);

    /// The expected time in a slot; zero before the first measurement of any kind.
    Duration expected(const std::string &kind) const;

    /// A time that all but a few requests of @p kind stay under.
    Duration conservative(const std::string &kind) const;

private:
    struct Estimate
    {
        Duration mean_{};
        Duration deviation_{};
        bool isEmpty_ = true;

        void record(Duration used);
    };

    const Estimate &estimateOf(const std::string &kind) const;

    static constexpr std::size_t maxKinds = 1024; ///< Further kinds use the mean of all.

    std::unordered_map<std::string, Estimate> kinds_; ///< At most maxKinds.
    Estimate all_;
};

} // namespace qz
