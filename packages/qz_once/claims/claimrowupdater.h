// Updates of rows that this process wrote: records results, releases keys, erases rows.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_once/batching/rowwrite.h"
#include "qz_once/claims/claimrow.h"
#include "qz_platform/table/table.h"

#include <deque>
#include <memory>
#include <optional>

namespace qz {

/// An update of a row that is made only if the row still holds the token.
struct ClaimRowUpdate
{
    std::string rowKey_;
    AttemptToken token_;
    std::optional<ClaimRow> newRow_; ///< Without a value, the row is erased.
    RowVersion version_ = 0;         ///< 0 if unknown; the row is read first then.
};

/// Reads each row unless its version is known, compares its token, and writes on the condition
/// that the version is unchanged. Best effort: an update whose response is lost is not repeated,
/// since it only affects how soon a key can be claimed again and how long a row is kept.
///
/// Invariant: at most inFlightLimit updates are in flight, and between two calls of resetQuota()
/// no more updates start than it allowed. This leaves enough of the table's capacity to claims.
/// Releases are made before other updates.
/// @see ClaimClient
class ClaimRowUpdater
{
public:
    /// @p queueLimit: maximum number of waiting updates; further ones are dropped. No update starts
    /// before the first call of resetQuota().
    ClaimRowUpdater(Table &table, RowWriter write, std::size_t inFlightLimit,
                    std::size_t queueLimit);

    void add(ClaimRowUpdate update);

    /// Allows @p count updates to start until the next call; replaces what is left of the quota.
    void resetQuota(std::size_t count);

    std::size_t droppedCount() const { return droppedCount_; }
    std::size_t queueLength() const { return queue_.size(); }

private:
    void startNext();
    void readRow(const ClaimRowUpdate &update);
    void writeRow(const ClaimRowUpdate &update, RowVersion version);
    void onEnded();

    Table &table_;
    RowWriter write_;
    const std::size_t inFlightLimit_;
    const std::size_t queueLimit_;
    std::deque<ClaimRowUpdate> queue_; ///< Holds at most queueLimit_ updates.
    std::size_t inFlight_ = 0;
    std::size_t quota_ = 0;
    std::size_t droppedCount_ = 0;
    /// Checked by callbacks, which may come after this object was deleted.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace qz
