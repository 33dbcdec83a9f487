// What an admission queue is told about a request, and about the ranks that share its slots.
#pragma once

#include "qz_core/errors/errorkind.h"
#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <cstdint>
#include <string>

namespace qz {

/// One request that asks for a slot.
/// @see AdmissionQueue
struct AdmissionRequest
{
    std::uint64_t id_ = 0; ///< Unique among the requests of one queue.
    std::size_t rank_ = 0; ///< 0 is the most urgent.
    WorkspaceId workspace_;
    std::string kind_;    ///< Service times are measured by kind.
    double worth_ = 1.0;  ///< What an answer in time is worth.
    TimePoint deadline_;  ///< An answer after this time is worth nothing.
    double weight_ = 1.0; ///< Of the workspace, against others of the same rank; above 0.
};

/// What the rules state about one rank.
struct RankShare
{
    double share_ = 0.0; ///< Of the slots' time, 0 to 1, which it keeps while others flood.
    Duration target_{};  ///< The time from arrival to answer that its callers expect.
    double worth_ = 1.0; ///< Of a request whose kind states no worth of its own.
};

/// A ticket with what a policy needs to know about it.
struct QueuedRequest
{
    AdmissionRequest request_;
    std::uint64_t sequence_ = 0; ///< Rises with each offer.
    TimePoint offeredAt_;
    Duration predictedWait_{}; ///< As predicted at the offer, before any correction.
    Duration expected_{};      ///< Expected time in a slot, as estimated at the offer.
};

/// A ticket that left the queue without a slot.
struct DroppedRequest
{
    std::uint64_t id_ = 0;
    ErrorKind kind_ = ErrorKind::Internal; ///< DeadlineExpiredInQueue, or displaced: QueueFull,
                                           ///< DeadlineUnreachable.
};

} // namespace qz
