// Grouping of claim writes into transactions.
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
        timer_.reset(); // No need to wait for more.
    }
    schedule();
}

void ClaimBatcher::schedule()
{
    if (timer_ || queue_.empty() || inFlight_ >= limits_.maxCommitsInFlight_) {
        return;
    }
    timer_ = timers_.callAfter(delayBeforeCommit(), [this] {
        timer_.reset();
        commitGroup();
        schedule();
    });
}

Duration ClaimBatcher::delayBeforeCommit() const
{
    const Duration untilAllowed = nextCommitAt_ - clock_.now();
    const bool isFull = queue_.size() >= limits_.maxBatchSize_;
    return std::max(untilAllowed, isFull ? Duration::zero() : limits_.maxBatchDelay_);
}

void ClaimBatcher::commitGroup()
{
    auto group = std::make_shared<Group>(takeGroup());
    std::vector<TableWrite> writes;
    writes.reserve(group->size());
    for (const Entry &entry : *group) {
        writes.push_back(entry.write_);
    }
    ++inFlight_;
    ++commitCount_;
    nextCommitAt_ = clock_.now() + limits_.minCommitInterval_;
    table_.commit(std::move(writes),
                  [this, group, alive = std::weak_ptr<bool>(isAlive_)](const auto &result) {
                      if (!alive.expired()) {
                          onCommitted(std::move(*group), result);
                      }
                  });
}

ClaimBatcher::Group ClaimBatcher::takeGroup()
{
    Group group;
    std::deque<Entry> later;
    std::set<std::string> keys;
    while (!queue_.empty() && group.size() < limits_.maxBatchSize_) {
        Entry entry = std::move(queue_.front());
        queue_.pop_front();
        if (keys.insert(entry.write_.key_).second) {
            group.push_back(std::move(entry));
        } else {
            later.push_back(std::move(entry));
        }
    }
    std::move(later.rbegin(), later.rend(), std::front_inserter(queue_));
    return group;
}

void ClaimBatcher::onCommitted(Group group, const Result<CommitDecision> &result)
{
    --inFlight_;
    if (!result.has_value()) {
        finish(group, result.error());
    } else if (result.value().isApplied()) {
        finish(group, RowWriteOutcome::Applied);
    } else {
        splitConflicts(std::move(group), result.value().conflicts_);
    }
    schedule();
}

void ClaimBatcher::finish(Group &group, const Result<RowWriteOutcome> &outcome)
{
    for (Entry &entry : group) {
        entry.done_(outcome);
    }
}

void ClaimBatcher::splitConflicts(Group group, const std::vector<std::string> &conflicts)
{
    const std::set<std::string> keys(conflicts.begin(), conflicts.end());
    const auto firstRefused =
            std::stable_partition(group.begin(), group.end(), [&keys](const Entry &entry) {
                return keys.count(entry.write_.key_) == 0;
            });
    Group refused(std::make_move_iterator(firstRefused), std::make_move_iterator(group.end()));
    group.erase(firstRefused, group.end());
    if (refused.empty()) {
        finish(group, failure(ErrorKind::MalformedReply, "conflicts on rows not written"));
        return;
    }
    // Nothing of the group was applied, so the rest may be committed again.
    std::move(group.rbegin(), group.rend(), std::front_inserter(queue_));
    finish(refused, RowWriteOutcome::Conflict);
}

} // namespace qz
