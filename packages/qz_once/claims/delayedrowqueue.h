// Remembers the rows that this process wrote until they may be erased.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_once/claims/claimrow.h"

#include <map>
#include <optional>
#include <string>

namespace qz {

/// A row that this process wrote.
struct ClaimRowRef
{
    std::string rowKey_;
    AttemptToken token_;
};

/// Rows by the time at which they may be erased.
/// Invariant: holds at most the limit; what does not fit stays in the table for good.
class DelayedRowQueue
{
public:
    explicit DelayedRowQueue(std::size_t limit)
        : limit_(limit)
    {
    }

    void add(ClaimRowRef row, TimePoint eraseAt);

    /// Takes out one row that is due at @p now, the oldest first.
    std::optional<ClaimRowRef> takeDue(TimePoint now);

    std::size_t size() const { return rows_.size(); }
    std::size_t droppedCount() const { return droppedCount_; }

private:
    const std::size_t limit_;
    std::multimap<TimePoint, ClaimRowRef> rows_;
    std::size_t droppedCount_ = 0;
};

} // namespace qz
