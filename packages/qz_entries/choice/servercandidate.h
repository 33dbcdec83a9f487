// The inputs of a server choice: backend servers and the request.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <optional>
#include <vector>

namespace qz {

/// State of a gate's queue, from the last digest that the gate sent. The gate of a backend server
/// receives and queues all requests for the server.
struct QueueDigest
{
    std::size_t queued_ = 0;
    std::size_t running_ = 0;
    int slots_ = 1;
    std::vector<Duration> waitByRank_; ///< Estimated wait for a slot, most urgent rank first.
    Duration age_{};                   ///< Time since the gate measured this state.
};

/// A backend server that the request may be sent to.
struct ServerCandidate
{
    BackendServerId id_;
    Location location_;
    double weight_ = 1.0; ///< 0 to 1; below 1 while unhealthy or warming up; 0: never chosen.
    std::optional<QueueDigest> digest_; ///< Empty until a digest has arrived.
    Duration roundTrip_{};              ///< Estimated round trip between this entry and the gate.
};

/// The properties of a request that the choice depends on.
struct ServerRequest
{
    Location origin_; ///< Location of the entry.
    std::size_t rank_ = 0;
    Duration target_{};              ///< Remaining time within which the answer meets its target.
    Duration expectedServiceTime_{}; ///< Expected processing time in a slot.
};

/// Returns the expected wait for a slot at @p candidate in @p rank. The wait in a digest counts
/// less with increasing age; without a digest, the wait is zero.
Duration expectedWait(const ServerCandidate &candidate, std::size_t rank);

/// Returns the expected time until an answer of @p candidate arrives at this entry.
Duration expectedAnswer(const ServerCandidate &candidate, const ServerRequest &request);

} // namespace qz
