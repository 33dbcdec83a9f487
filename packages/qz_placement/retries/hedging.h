// Decides when a repeatable request is sent to a second backend server.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// An attempt without an answer, as an input of shouldHedge().
struct HedgingCandidate
{
    Duration age_{};    ///< Time since the attempt was sent.
    Duration target_{}; ///< Target time of the request.
    /// Estimates for the route. @see RouteLatency
    Duration meanLatency_{};
    Duration percentile90_{};
    Duration overdueAge_{};
    /// The server is ejected or on trial, so it probably does not answer.
    bool isServerSuspect_ = false;
    bool isCongested_ = false; ///< Requests queue at the servers. @see RouteLatency::isCongested
    double usedBudgetShare_ = 0.0; ///< Used share of the retry budget, 0 to 1.
};

/// Returns whether to send the request to a second server without waiting longer for the first.
///
/// Assumed load: some servers accept requests and never answer them, and the answer times of the
/// others vary widely. A second attempt can meet the target only if it starts early; started for
/// every slow answer, it would exhaust the budget, and the requests that no server answers would
/// fail. So the older the attempt, the more of the budget it may use: nothing while a second
/// attempt can still meet the target in nine of ten cases, half of it up to the target, all of it
/// after that. Once requests queue, second attempts lengthen the queues: then only an attempt that
/// is overdue, or at a suspect server, is worth one.
bool shouldHedge(const HedgingCandidate &candidate);

} // namespace qz
