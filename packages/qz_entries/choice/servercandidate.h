// What an entry knows about the backend servers that may take a request.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <optional>
#include <vector>

namespace qz {

/// The state of a gate's queue, as its last digest told it.
struct QueueDigest
{
    std::size_t queued_ = 0;
    std::size_t running_ = 0;
    int slots_ = 1;
    std::vector<Duration> waitByRank_; ///< Estimated wait for a slot, most urgent rank first.
    Duration age_{};                   ///< Time since it was true.
};

/// One backend server that may take the request.
struct ServerCandidate
{
    BackendServerId id_;
    Location location_;
    double weight_ = 1.0; ///< 0 to 1, by health; below 1 while sick or cold; 0: not chosen.
    std::optional<QueueDigest> digest_; ///< None: nothing was heard of its queue yet.
    Duration roundTrip_{};              ///< Estimate, between this entry and the gate.
};

/// What the choice needs to know about a request.
struct ServerRequest
{
    Location origin_; ///< Where the entry stands.
    std::size_t rank_ = 0;
    Duration target_{};              ///< Time from now within which its answer is in target.
    Duration expectedServiceTime_{}; ///< Expected time in a slot.
};

/// The wait for a slot at @p candidate in @p rank. What a digest told counts for less the older
/// it is; where nothing is known, the wait is zero.
Duration expectedWait(const ServerCandidate &candidate, std::size_t rank);

/// The time until an answer of @p candidate is here.
Duration expectedAnswer(const ServerCandidate &candidate, const ServerRequest &request);

} // namespace qz
