// Bounds of claiming, settling and keeping.
#pragma once

#include "qz_core/time/clock.h"

#include <cstddef>

namespace qz {

/// Bounds of a ClaimClient.
/// Invariant: sendWindow_ is far below the least time for which a claim is kept, so that no
/// grant is still good when its row is erased.
struct ClaimLimits
{
    Duration sendWindow_ = std::chrono::seconds(30);    ///< From claim() until a grant ends.
    Duration retryTimeLimit_ = std::chrono::seconds(2); ///< No new try of a claim after this.
    int maxWrites_ = 4;                                 ///< Writes of one claim, at most.
    std::size_t maxUpdatesInFlight_ = 16;
    std::size_t maxQueuedUpdates_ = 4096; ///< Results waiting to be recorded; more are dropped.
    std::size_t updatesPerSecond_ = 20;   ///< Results, releases and erasures; each is a read, too.
    std::size_t erasuresPerSecond_ = 10;
    std::size_t pendingErasures_ =
            100'000; ///< Rows remembered for erasing; more stay in the table.
};

/// The least time for which a claim is kept, in send windows.
constexpr int minRetentionInSendWindows = 4;

} // namespace qz
