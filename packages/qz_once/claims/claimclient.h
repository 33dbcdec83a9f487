// At-most-once execution of requests that must not be repeated: the part of an entry
// instance.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_once/batching/claimbatcher.h"
#include "qz_once/claims/claimattempt.h"
#include "qz_once/claims/claimlimits.h"
#include "qz_once/claims/claimrowupdater.h"
#include "qz_once/claims/delayedrowqueue.h"

#include <memory>

namespace qz {

/// Claims idempotency keys before anything is sent, and reports afterwards what became of
/// each request. Use it for every request of a kind that may not be repeated.
///
/// The row of a key is written only if it is absent or released, under a token that is fresh
/// for each call of claim(). Whoever's token the row holds may send; nobody else ever does,
/// and no claim is taken over because time has passed. So a claimer that is paused for long
/// harms nobody, and a claimer that is lost leaves its keys with an unknown outcome.
///
/// Invariant: a row is erased no sooner than minRetentionInSendWindows send windows after its
/// claim, by the clock of the claimer, which is the clock of the grant.
/// @see ClaimGrant
class ClaimClient
{
public:
    class Builder;

    ClaimClient(const ClaimClient &) = delete;
    ClaimClient &operator=(const ClaimClient &) = delete;

    /// Claims @p key for one request; the row is kept for at least @p keep.
    /// @p done is called once. Errors, all of which mean that nothing was or will be sent
    /// under this claim:
    /// - AlreadyClaimed: somebody else holds the key, or held it; the message says who, and
    ///   what is known. The request may have run under that claim.
    /// - ClaimStoreUnavailable: no row was written and none will be.
    /// - ClaimUndecided: the answer was lost and reading back failed. The row may be there,
    ///   now or later, under a token that is dead.
    void claim(const WorkspaceId &workspace, const IdempotencyKey &key, Duration keep,
               ClaimDone done);

    /// Reports what became of the request. NotRun releases the key, so that a retry by the
    /// caller may run; the holder must never send under the grant after that. Best effort.
    void settle(const ClaimGrant &grant, ClaimResult result);

    /// Counts since the start, for metrics and state dumps.
    struct Counts
    {
        std::size_t claims_ = 0;
        std::size_t grants_ = 0;
        std::size_t alreadyClaimed_ = 0;
        std::size_t storeUnavailable_ = 0;
        std::size_t undecided_ = 0;
        std::size_t droppedUpdates_ = 0;
        std::size_t pendingErasures_ = 0;
        std::size_t unscheduledErasures_ = 0;
    };
    Counts counts() const;

private:
    explicit ClaimClient(const Builder &builder);

    void onAttemptEnded(const ClaimRowRef &row, TimePoint eraseAt, const ClaimAttempt::End &end,
                        const ClaimDone &done);
    void count(const Result<ClaimGrant> &result);
    void releaseDeadRowLater(const ClaimRowRef &row);
    ClaimRow makeRow(AttemptToken token, ClaimState state) const;
    void onTick();

    Table &table_;
    const Clock &clock_;
    const InstanceId self_;
    const std::string incarnation_;
    const ClaimLimits limits_;
    std::unique_ptr<ClaimBatcher> ownBatcher_; ///< Only without a writer from outside.
    RowWriter write_;
    ClaimRowUpdater updater_;
    DelayedRowQueue pendingErasures_; ///< To be erased.
    DelayedRowQueue deadRows_; ///< Nobody sends under their tokens; to be released if they appear.
    Counts counts_;
    Timers::HandlePtr tick_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< For late answers.
};

/// Collects what a ClaimClient needs. Table, timers, clock, instance and incarnation must be
/// set; table, timers and clock outlive the client.
class ClaimClient::Builder
{
public:
    Builder &setTable(Table &table);
    Builder &setTimers(Timers &timers);
    Builder &setClock(const Clock &clock);
    Builder &setSelf(InstanceId self);
    Builder &setIncarnation(std::string incarnation);
    Builder &setLimits(ClaimLimits limits);
    /// The way of writes to the table; without one the client groups its own.
    Builder &setRowWriter(RowWriter write);

    std::unique_ptr<ClaimClient> build() const;

private:
    friend class ClaimClient;

    Table *table_ = nullptr;
    Timers *timers_ = nullptr;
    const Clock *clock_ = nullptr;
    InstanceId self_;
    std::string incarnation_;
    ClaimLimits limits_;
    RowWriter write_;
};

} // namespace qz
