// Rows ordered by the time at which they are due.
#include "qz_once/claims/delayedrowqueue.h"

#include <utility>

namespace qz {

void DelayedRowQueue::add(ClaimRowRef row, TimePoint dueTime)
{
    if (rows_.size() >= limit_) {
        ++droppedCount_;
        return;
    }
    rows_.emplace(dueTime, std::move(row));
}

std::optional<ClaimRowRef> DelayedRowQueue::takeDue(TimePoint now)
{
    const auto earliest = rows_.begin();
    if (earliest == rows_.end() || earliest->first > now) {
        return std::nullopt;
    }
    std::optional<ClaimRowRef> row = std::move(earliest->second);
    rows_.erase(earliest);
    return row;
}

} // namespace qz
