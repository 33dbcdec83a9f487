// What a successful claim hands out, and what its holder reports back.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_once/claims/claimrow.h"
#include "qz_platform/table/table.h"

#include <functional>

namespace qz {

/// The right to send one non-repeatable request.
///
/// Invariant: of all grants for one key, in all processes, at most one is neither settled as
/// NotRun nor older than the time for which claims are kept. Whoever holds it may send the
/// request, and send it again only after a try that provably did not run, and only before
/// sendBefore_ by the clock that the ClaimClient was given. What crosses a link is the time
/// remaining; the receiver checks it again right before it sends.
/// @see ClaimClient
struct ClaimGrant
{
    WorkspaceId workspace_;
    IdempotencyKey key_;
    AttemptToken token_;
    TimePoint sendBefore_;
    RowVersion version_ = 0; ///< Of the claimed row, or 0 if it was not read.
};

/// What became of a request that was sent, or not, under a grant.
enum class ClaimResult : std::uint8_t {
    Ran,     ///< A backend server ran it.
    NotRun,  ///< It was not run, and its holder will not send it any more.
    Unknown, ///< It may have run.
};

using ClaimDone = std::function<void(Result<ClaimGrant>)>;

} // namespace qz
