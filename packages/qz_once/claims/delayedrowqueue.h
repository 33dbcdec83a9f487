// Rows that this process wrote and has to release or erase later.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_once/claims/claimrow.h"

#include <map>
#include <optional>
#include <string>

namespace qz {

/// Identifies a row that this process wrote.
struct ClaimRowRef
{
    std::string rowKey_;
    AttemptToken token_;
};

/// Rows ordered by the time at which they are due.
/// Invariant: holds at most `limit` rows. A row that does not fit is not added and therefore stays
/// in the table for good.
class DelayedRowQueue
{
public:
    /// @p limit: maximum number of rows.
    explicit DelayedRowQueue(std::size_t limit)
        : limit_(limit)
    {
    }

    void add(ClaimRowRef row, TimePoint dueTime);

    /// Removes and returns the earliest row that is due at @p now, if any.
    std::optional<ClaimRowRef> takeDue(TimePoint now);

    std::size_t size() const { return rows_.size(); }
    std::size_t droppedCount() const { return droppedCount_; }

private:
    const std::size_t limit_;
    std::multimap<TimePoint, ClaimRowRef> rows_;
    std::size_t droppedCount_ = 0;
};

} // namespace qz
