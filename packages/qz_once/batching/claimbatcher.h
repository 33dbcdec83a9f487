// Commits many writes of claim rows in one transaction.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_core/time/clock.h"
#include "qz_once/batching/rowwrite.h"

#include <deque>
#include <memory>
#include <vector>

namespace qz {

/// Limits of a ClaimBatcher.
struct ClaimBatchLimits
{
    std::size_t maxBatchSize_ = 64;                              ///< Rows in one transaction.
    Duration maxBatchDelay_ = std::chrono::milliseconds(2);      ///< Time to wait for more rows.
    Duration minCommitInterval_ = std::chrono::milliseconds(20); ///< Between two commits.
    std::size_t maxCommitsInFlight_ = 4;
    std::size_t maxQueuedWrites_ = 4096; ///< Further writes are refused.
};

/// Groups writes into batches, so that claims need few transactions. A batch is committed when it
/// is full or after maxBatchDelay_, and at least minCommitInterval_ after the previous one. If the
/// table reports conflicts, only the writes of these rows fail; the others are committed again.
///
/// Invariant: a batch never contains two writes of the same row. The table checks all conditions
/// of a transaction against the rows as they were before it, so two claims of one key in one
/// batch would both be applied.
/// @see ClaimClient
class ClaimBatcher
{
public:
    ClaimBatcher(Table &table, Timers &timers, const Clock &clock, ClaimBatchLimits limits = {});

    /// Writes one row. Fails with StoreUnavailable if the queue is full.
    void write(TableWrite write, RowWriteDone done);

    std::size_t commitCount() const { return commitCount_; }
    std::size_t writeCount() const { return writeCount_; }
    std::size_t queueLength() const { return queue_.size(); }

private:
    struct Entry
    {
        TableWrite write_;
        RowWriteDone done_;
    };
    using Batch = std::vector<Entry>;

    void schedule();
    Duration commitDelay() const;
    void commitBatch();
    Batch takeBatch();
    void onCommitted(Batch batch, const Result<CommitDecision> &result);
    static void finish(Batch &batch, const Result<RowWriteOutcome> &outcome);
    void separateConflicts(Batch batch, const std::vector<std::string> &conflicts);

    Table &table_;
    Timers &timers_;
    const Clock &clock_;
    const ClaimBatchLimits limits_;
    std::deque<Entry> queue_;  ///< Writes of the same row stay in call order.
    std::size_t inFlight_ = 0; ///< At most limits_.maxCommitsInFlight_.
    TimePoint nextCommitAt_{};
    std::size_t commitCount_ = 0;
    std::size_t writeCount_ = 0;
    Timers::HandlePtr timer_; ///< Set while a commit is scheduled.
    /// Checked by callbacks, which may come after this object was deleted.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace qz
