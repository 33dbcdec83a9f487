// One call of ClaimClient::claim(), from the first write to its end.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_once/batching/rowwrite.h"
#include "qz_once/claims/claimgrant.h"
#include "qz_once/claims/claimlimits.h"

#include <memory>

namespace qz {

/// Writes the row of a key under a fresh token and settles each lost answer by reading back.
///
/// Invariants:
/// - A grant is made at most once, and only after the table said that the row holds this
///   token, either by applying the write or when it was read.
/// - While a write is undecided nobody may send under its token: neither this attempt, which
///   knows no better, nor another, which compares tokens. A write that takes effect late
///   therefore never lets anything run; at worst it blocks the key.
/// - mayBeWritten_ never falls. "Not run and no row" is only said while it is false.
/// @see ClaimClient
class ClaimAttempt : public std::enable_shared_from_this<ClaimAttempt>
{
public:
    /// What an attempt needs of its surroundings; all of it outlives the attempt.
    struct Context
    {
        Table &table_;
        const Clock &clock_;
        RowWriter write_;
        ClaimLimits limits_;
    };

    /// How an attempt ended.
    struct End
    {
        Result<ClaimGrant> result_;
        bool mayLeaveRow_ = false; ///< No grant, but the row may hold the token, now or later.
    };
    using EndHandler = std::function<void(End)>;

    /// @p row is the content to be written, with the fresh token.
    ClaimAttempt(Context context, WorkspaceId workspace, IdempotencyKey key, ClaimRow row,
                 EndHandler done);

    void start();

private:
    void writeRow(RowVersion expectedVersion);
    void onWritten(const Result<RowWriteOutcome> &outcome);
    void readBack();
    void onRead(const Result<std::optional<TableRow>> &result);
    void onRowRead(const TableRow &row);
    void grant(RowVersion version);
    void refuse(const std::string &why);
    void fail(ErrorKind kind, const std::string &message);

    const Context context_;
    const WorkspaceId workspace_;
    const IdempotencyKey key_;
    const std::string rowKey_;
    const ClaimRow row_;
    EndHandler done_; ///< Empty once the attempt has ended.
    TimePoint startedAt_{};
    int maxWrites_ = 0;
    bool mayBeWritten_ = false;
};

} // namespace qz
