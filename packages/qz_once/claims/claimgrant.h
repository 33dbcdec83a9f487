// The result of a successful claim, and the result that its holder reports afterwards.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_once/claims/claimrow.h"
#include "qz_platform/table/table.h"

#include <functional>

namespace qz {

/// The right to send one non-repeatable request.
///
/// Invariant: of all grants for one key, in all processes, at most one is neither reported as
/// NotRun nor older than the retention time of claims. Its holder may send the request before
/// sendBefore_, by the clock of the ClaimClient, and may send it again only after an attempt that
/// provably did not run. Peer links carry the remaining time instead of sendBefore_, and the
/// receiver checks it again right before it sends the request.
/// @see ClaimClient
struct ClaimGrant
{
    WorkspaceId workspace_;
    IdempotencyKey key_;
    AttemptToken token_;
    TimePoint sendBefore_;
    RowVersion version_ = 0; ///< Version of the claimed row; 0 if the row was not read.
};

/// The result of a request for which a claim was granted.
enum class ClaimResult : std::uint8_t {
    Ran,     ///< A backend server ran the request.
    NotRun,  ///< The request did not run, and the holder will not send it any more.
    Unknown, ///< The request may have run.
};

using ClaimDone = std::function<void(Result<ClaimGrant>)>;

} // namespace qz
