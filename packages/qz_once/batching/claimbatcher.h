// Commits many writes of claim rows in one transaction.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_core/time/clock.h"
#include "qz_once/batching/rowwrite.h"

#include <deque>
#include <memory>
#include <vector>

namespace qz {

/// Bounds of a ClaimBatcher.
struct ClaimBatchLimits
{
    std::size_t maxBatchSize_ = 64;                              ///< Rows in one transaction.
    Duration maxBatchDelay_ = std::chrono::milliseconds(2);      ///< For more rows, when idle.
    Duration minCommitInterval_ = std::chrono::milliseconds(20); ///< Least, between two commits.
    std::size_t maxCommitsInFlight_ = 4;
    std::size_t maxQueuedWrites_ = 4096; ///< Rows waiting; one more is refused.
};

/// Groups writes, so that claims cost the table few transactions: a group is committed when
/// it is full or has waited, and no sooner than a set interval after the one before. Rows
/// whose condition fails are split out and the rest is committed again.
///
/// Invariant: a group never holds two writes of the same row. The table checks all conditions
/// of a transaction against the rows as they were before it, so two claims of one key in one
/// group would both be applied.
/// @see ClaimClient
class ClaimBatcher
{
public:
    ClaimBatcher(Table &table, Timers &timers, const Clock &clock, ClaimBatchLimits limits = {});

    /// Writes one row. StoreUnavailable if the queue is full.
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
    using Group = std::vector<Entry>;

    void schedule();
    Duration delayBeforeCommit() const;
    void commitGroup();
    Group takeGroup();
    void onCommitted(Group group, const Result<CommitDecision> &result);
    static void finish(Group &group, const Result<RowWriteOutcome> &outcome);
    void splitConflicts(Group group, const std::vector<std::string> &conflicts);

    Table &table_;
    Timers &timers_;
    const Clock &clock_;
    const ClaimBatchLimits limits_;
    std::deque<Entry> queue_;  ///< Writes of one row stay in the order of their calls.
    std::size_t inFlight_ = 0; ///< At most limits_.maxCommitsInFlight_.
    TimePoint nextCommitAt_{};
    std::size_t commitCount_ = 0;
    std::size_t writeCount_ = 0;
    Timers::HandlePtr timer_;                                      ///< Set while a commit is due.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< For late answers.
};

} // namespace qz
