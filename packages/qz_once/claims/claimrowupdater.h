// Changes to rows that this process wrote: recording results, releasing, erasing.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_once/batching/rowwrite.h"
#include "qz_once/claims/claimrow.h"
#include "qz_platform/table/table.h"

#include <deque>
#include <memory>
#include <optional>

namespace qz {

/// One change, made only if the row still holds the token.
struct ClaimRowUpdate
{
    std::string rowKey_;
    AttemptToken token_;
    std::optional<ClaimRow> newRow_; ///< No value erases the row.
    RowVersion version_ = 0;         ///< If known; else the row is read first.
};

/// Reads each row, compares its token, and writes under the version that was read. Best
/// effort: a change whose answer is lost is not made again, since nothing relies on it but
/// how soon a key can be claimed again and how long rows are kept.
///
/// Invariant: at most inFlightLimit changes are under way, and no more are started between two
/// calls of resetQuota() than it allowed, so that reads and writes stay within what claims leave of
/// the table. Releases go first.
/// @see ClaimClient
class ClaimRowUpdater
{
public:
    /// @p queueLimit: changes waiting, more are dropped. Nothing starts before resetQuota().
    ClaimRowUpdater(Table &table, RowWriter write, std::size_t inFlightLimit,
                    std::size_t queueLimit);

    void add(ClaimRowUpdate update);

    /// Allows @p count changes from now on.
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
    std::deque<ClaimRowUpdate> queue_; ///< At most queueLimit_.
    std::size_t inFlight_ = 0;
    std::size_t quota_ = 0;
    std::size_t droppedCount_ = 0;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< For late answers.
};

} // namespace qz
