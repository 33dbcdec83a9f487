// A variant of the policies that decide the order in which queued requests get slots.
#pragma once

#include "qz_admission/policies/fifopolicy.h"
#include "qz_admission/policies/sharedrankspolicy.h"
#include "qz_admission/policies/strictprioritypolicy.h"

#include <string_view>
#include <variant>

namespace qz {

/// Every alternative has the same members, which AdmissionQueue calls through visitors:
/// - limitsOverloadToTarget(): returns whether an overloaded rank accepts only requests that can be
///   answered within its target;
/// - insert(queued, now): adds a request;
/// - erase(queued, now): removes a request that leaves the queue without a slot;
/// - next(now): returns the id of the request that gets the next slot, if any is queued;
/// - start(queued, now): removes a request that gets a slot;
/// - finish(queued, used, now): records that a started request freed its slot after @c used;
/// - wait(queued, load): returns the expected wait of a request that would be inserted now;
/// - waitOfRank(rank, load): returns the expected wait of a new request of the rank;
/// - victim(queued, maxQueued): returns the id of the queued request that a full queue drops in
///   favor of @c queued, if any;
/// - findLowerWorth(queued): returns the id of a queued request of lower worth that may be
///   dropped in favor of @c queued, if any;
/// - configure(slots, ranks, now): applies changed slots or ranks;
/// - dump(): returns the state as JSON.
using AdmissionPolicy = std::variant<SharedRanksPolicy, StrictPriorityPolicy, FifoPolicy>;

/// Returns "shared-ranks", "strict-priority" or "fifo".
std::string_view nameOf(const AdmissionPolicy &policy);

} // namespace qz
