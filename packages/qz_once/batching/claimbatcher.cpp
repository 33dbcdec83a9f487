// Groups writes of claim rows into transactions.
#include "qz_once/batching/claimbatcher.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <set>
#include <utility>

namespace qz {

ClaimBatcher::ClaimBatcher(Table &table, Timers &timers, const Clock &clock,
                           ClaimBatchLimits limits)
    : table_(table)
    , timers_(timers)
    , clock_(clock)
    , limits_(limits)
{
    assert(limits_.maxBatchSize_ > 0 && limits_.maxCommitsInFlight_ > 0);
}

void ClaimBatcher::write(TableWrite write, RowWriteDone done)
{
    if (queue_.size() >= limits_.maxQueuedWrites_) {
        done(failure(ErrorKind::StoreUnavailable, "too many claims wait for the table"));
        return;
    }
    ++writeCount_;
    queue_.push_back(Entry{ std::move(write), std::move(done) });
    if (queue_.size() == limits_.maxBatchSize_) {
        timer_.reset(); // The batch is full; commit without further delay.
    }
    schedule();
}

void ClaimBatcher::schedule()
{
    if (timer_ || queue_.empty() || inFlight_ >= limits_.maxCommitsInFlight_) {
        return;
    }
    timer_ = timers_.callAfter(commitDelay(), [this] {
        timer_.reset();
        commitBatch();
        schedule();
    });
}

Duration ClaimBatcher::commitDelay() const
{
    const Duration untilAllowed = nextCommitAt_ - clock_.now();
    const bool isFull = queue_.size() >= limits_.maxBatchSize_;
    return std::max(untilAllowed, isFull ? Duration::zero() : limits_.maxBatchDelay_);
}

void ClaimBatcher::commitBatch()
{
    auto batch = std::make_shared<Batch>(takeBatch());
    std::vector<TableWrite> writes;
    writes.reserve(batch->size());
    for (const Entry &entry : *batch) {
        writes.push_back(entry.write_);
    }
    ++inFlight_;
    ++commitCount_;
    nextCommitAt_ = clock_.now() + limits_.minCommitInterval_;
    table_.commit(std::move(writes),
                  [this, batch, alive = std::weak_ptr<bool>(isAlive_)](const auto &result) {
                      if (!alive.expired()) {
                          onCommitted(std::move(*batch), result);
                      }
                  });
}

ClaimBatcher::Batch ClaimBatcher::takeBatch()
{
    Batch batch;
    std::deque<Entry> later;
    std::set<std::string> keys;
    while (!queue_.empty() && batch.size() < limits_.maxBatchSize_) {
        Entry entry = std::move(queue_.front());
        queue_.pop_front();
        if (keys.insert(entry.write_.key_).second) {
            batch.push_back(std::move(entry));
        } else {
            later.push_back(std::move(entry));
        }
    }
    std::move(later.rbegin(), later.rend(), std::front_inserter(queue_));
    return batch;
}

void ClaimBatcher::onCommitted(Batch batch, const Result<CommitDecision> &result)
{
    --inFlight_;
    if (!result.has_value()) {
        finish(batch, result.error());
    } else if (result.value().isApplied()) {
        finish(batch, RowWriteOutcome::Applied);
    } else {
        separateConflicts(std::move(batch), result.value().conflicts_);
    }
    schedule();
}

void ClaimBatcher::finish(Batch &batch, const Result<RowWriteOutcome> &outcome)
{
    for (Entry &entry : batch) {
        entry.done_(outcome);
    }
}

void ClaimBatcher::separateConflicts(Batch batch, const std::vector<std::string> &conflicts)
{
    const std::set<std::string> keys(conflicts.begin(), conflicts.end());
    const auto firstConflict =
            std::stable_partition(batch.begin(), batch.end(), [&keys](const Entry &entry) {
                return keys.count(entry.write_.key_) == 0;
            });
    Batch conflicting(std::make_move_iterator(firstConflict), std::make_move_iterator(batch.end()));
    batch.erase(firstConflict, batch.end());
    if (conflicting.empty()) {
        finish(batch, failure(ErrorKind::MalformedReply, "conflicts on rows not written"));
        return;
    }
    // The table applied no write of the batch, so the other writes can be committed again.
    std::move(batch.rbegin(), batch.rend(), std::front_inserter(queue_));
    finish(conflicting, RowWriteOutcome::Conflict);
}

} // namespace qz
