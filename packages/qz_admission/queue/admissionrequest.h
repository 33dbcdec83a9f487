// The inputs and outputs of an admission queue: requests and the settings of the ranks.
#pragma once

#include "qz_core/errors/errorkind.h"
#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <cstdint>
#include <string>

namespace qz {

/// A request as offered to an admission queue.
/// @see AdmissionQueue
struct AdmissionRequest
{
    std::uint64_t id_ = 0; ///< Unique among the requests of one queue.
    std::size_t rank_ = 0; ///< 0 is the most urgent.
    WorkspaceId workspace_;
    std::string kind_;    ///< Service times are estimated per kind.
    double worth_ = 1.0;  ///< Worth of an answer before the deadline.
    TimePoint deadline_;  ///< Later answers are worth nothing.
    double weight_ = 1.0; ///< Weight of the workspace among those of its rank; above 0.
};

/// The settings of one rank.
struct RankShare
{
    double share_ = 0.0; ///< Guaranteed share of the slot time, 0 to 1.
    Duration target_{};  ///< Target time from arrival to answer.
    double worth_ = 1.0; ///< Default worth of requests whose kind sets none.
};

/// A queued request with the values that the policies use.
struct QueuedRequest
{
    AdmissionRequest request_;
    std::uint64_t sequence_ = 0; ///< Increases with each offer.
    TimePoint offeredAt_;
    Duration predictedWait_{}; ///< Predicted when offered, not corrected.
    Duration expected_{};      ///< Expected service time, estimated when offered.
};

/// A request that left the queue without a slot.
struct DroppedRequest
{
    std::uint64_t id_ = 0;

    /// DeadlineExpiredInQueue, or QueueFull or DeadlineUnreachable if another request displaced it.
    ErrorKind kind_ = ErrorKind::Internal;
};

} // namespace qz
