// Claims idempotency keys for the requests that an entry instance sends.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_once/batching/claimbatcher.h"
#include "qz_once/claims/claimattempt.h"
#include "qz_once/claims/claimlimits.h"
#include "qz_once/claims/claimrowupdater.h"
#include "qz_once/claims/delayedrowqueue.h"

#include <memory>

namespace qz {

/// Provides at-most-once execution: claims an idempotency key before a request is sent, and
/// records the result of the request afterwards. Use it for every non-repeatable request.
///
/// The row of a key is written only if it is absent or released. Each call of claim() writes a
/// new token, and only the caller whose token the row holds may send the request. A claim never
/// expires in favor of another claimer. A claimer that is paused for long is therefore safe, and
/// the keys of a claimer that is lost keep an unknown outcome.
///
/// Invariant: a row is erased no sooner than minRetentionInSendWindows send windows after its
/// claim, by the claimer's clock, which the grant uses too.
/// @see ClaimGrant
class ClaimClient
{
public:
    class Builder;

    ClaimClient(const ClaimClient &) = delete;
    ClaimClient &operator=(const ClaimClient &) = delete;

    /// Claims @p key for one request. The row stays in the table for at least @p retention.
    /// Calls @p done once. After any of these errors, no request was or will be sent under this
    /// claim:
    /// - AlreadyClaimed: another claim holds or held the key. The message names its claimer and
    ///   its state. The request may have run under that claim.
    /// - ClaimStoreUnavailable: no row was written and none will be.
    /// - ClaimUndecided: a write may have taken effect, or may do so later, but the claim could
    ///   not be confirmed in time. The row may appear with a token that nobody uses.
    void claim(const WorkspaceId &workspace, const IdempotencyKey &key, Duration retention,
               ClaimDone done);

    /// Records the result of the request in the row. NotRun releases the key, so that a retry by
    /// the caller may run; the request must never be sent under this grant after that. Best
    /// effort: a result that cannot be written is not recorded.
    void reportResult(const ClaimGrant &grant, ClaimResult result);

    /// Counts for metrics and state dumps: since the start, except pendingErasures_.
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
    void scheduleRelease(const ClaimRowRef &row);
    ClaimRow makeRow(AttemptToken token, ClaimState state) const;
    void onTick();

    Table &table_;
    const Clock &clock_;
    const InstanceId self_;
    const std::string incarnation_;
    const ClaimLimits limits_;
    std::unique_ptr<ClaimBatcher> ownBatcher_; ///< Null if the builder has a row writer.
    RowWriter write_;
    ClaimRowUpdater updater_;
    DelayedRowQueue pendingErasures_;
    DelayedRowQueue pendingReleases_; ///< Rows of undecided claims, released if they appear.
    Counts counts_;
    Timers::HandlePtr tick_;
    /// Checked by callbacks, which may come after this object was deleted.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

/// Builds a ClaimClient. Table, timers, clock, instance and incarnation must be set. Table, timers
/// and clock outlive the client.
class ClaimClient::Builder
{
public:
    Builder &setTable(Table &table);
    Builder &setTimers(Timers &timers);
    Builder &setClock(const Clock &clock);
    Builder &setSelf(InstanceId self);
    Builder &setIncarnation(std::string incarnation);
    Builder &setLimits(ClaimLimits limits);
    /// Sets the function that writes rows. By default, the client has its own ClaimBatcher.
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
