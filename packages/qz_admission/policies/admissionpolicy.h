// The order in which queued requests get slots, as a choice between policies.
#pragma once

#include "qz_admission/policies/fifopolicy.h"
#include "qz_admission/policies/sharedrankspolicy.h"
#include "qz_admission/policies/strictprioritypolicy.h"

#include <string_view>
#include <variant>

namespace qz {

/// Every alternative has the same members, called by AdmissionQueue through visitors:
/// - limitsOverloadToTarget(): whether a rank that had to refuse work is held to its target;
/// - insert(queued, now), erase(queued, now): a ticket comes, or leaves without a slot;
/// - next(now): the id of the ticket that gets the next slot, if any is queued;
/// - start(queued, now), finish(queued, used, now): a slot is taken, freed;
/// - wait(queued, load): the expected wait of a ticket that would be inserted now;
/// - waitOfRank(rank, load): the same for a ticket of a workspace without queued work;
/// - victim(queued, maxQueued): which queued ticket yields its place in a full queue, if any;
/// - findLowerWorth(queued): a ticket to give up for one that would otherwise be refused, if any;
/// - configure(slots, ranks, now): the slots or ranks changed;
/// - dump(): its state.
using AdmissionPolicy = std::variant<SharedRanksPolicy, StrictPriorityPolicy, FifoPolicy>;

/// "shared-ranks", "strict-priority" or "fifo".
std::string_view nameOf(const AdmissionPolicy &policy);

} // namespace qz
