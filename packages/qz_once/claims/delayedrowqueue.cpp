// Rows waiting to be erased.
#include "qz_once/claims/delayedrowqueue.h"

#include <utility>

namespace qz {

void DelayedRowQueue::add(ClaimRowRef row, TimePoint eraseAt)
{
    if (rows_.size() >= limit_) {
        ++droppedCount_;
        return;
    }
    rows_.emplace(eraseAt, std::move(row));
}

std::optional<ClaimRowRef> DelayedRowQueue::takeDue(TimePoint now)
{
    const auto oldest = rows_.begin();
    if (oldest == rows_.end() || oldest->first > now) {
        return std::nullopt;
    }
    std::optional<ClaimRowRef> row = std::move(oldest->second);
    rows_.erase(oldest);
    return row;
}

} // namespace qz
