// Limits of claims, their results and their retention.
#pragma once

#include "qz_core/time/clock.h"

#include <cstddef>

namespace qz {

/// Limits of a ClaimClient.
/// Invariant: sendWindow_ is far below the minimum retention time of a claim, so that every grant
/// has ended when its row is erased.
struct ClaimLimits
{
    /// From claim() until its grant ends.
    Duration sendWindow_ = std::chrono::seconds(30);
    /// A claim is not written again after this time.
    Duration retryTimeLimit_ = std::chrono::seconds(2);
    int maxWrites_ = 4; ///< Maximum number of writes per claim.
    std::size_t maxUpdatesInFlight_ = 16;
    std::size_t maxQueuedUpdates_ = 4096; ///< Further results, releases and erasures are dropped.
    std::size_t updatesPerSecond_ = 20;   ///< Results, releases and erasures; each may also read.
    std::size_t erasuresPerSecond_ = 10;
    std::size_t maxPendingErasures_ = 100'000; ///< Further rows stay in the table for good.
};

/// The minimum time for which a claimed row stays in the table, in send windows.
constexpr int minRetentionInSendWindows = 4;

} // namespace qz
