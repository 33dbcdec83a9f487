// One call of ClaimClient::claim(), from the first write to its result.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_once/batching/rowwrite.h"
#include "qz_once/claims/claimgrant.h"
#include "qz_once/claims/claimlimits.h"

#include <memory>

namespace qz {

/// Writes the row of a key with a new token. If the response to a write is lost, reads the row
/// to find out whether the write took effect.
///
/// Invariants:
/// - A claim is granted at most once, and only after the table has confirmed that the row holds
///   this token: it applied the write, or the row that was read contains the token.
/// - While the effect of a write is unknown, no request is sent under its token. This attempt
///   does not know that it holds the key, and any other attempt compares tokens. A write that
///   takes effect late therefore never lets a request run; at worst it blocks the key.
/// - Once set, mayBeWritten_ stays set. Only while it is false does the attempt report that no
///   row was written and none will be.
/// @see ClaimClient
class ClaimAttempt : public std::enable_shared_from_this<ClaimAttempt>
{
public:
    /// The objects and limits that an attempt uses. The referenced objects outlive the attempt.
    struct Context
    {
        Table &table_;
        const Clock &clock_;
        RowWriter write_;
        ClaimLimits limits_;
    };

    /// The result of an attempt.
    struct End
    {
        Result<ClaimGrant> result_;
        bool mayLeaveRow_ = false; ///< Not granted, but the row may hold the token, now or later.
    };
    using EndHandler = std::function<void(End)>;

    /// @p row is the content to write; it contains the new token.
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
    void failAlreadyClaimed(const std::string &message);
    void fail(ErrorKind kind, const std::string &message);

    const Context context_;
    const WorkspaceId workspace_;
    const IdempotencyKey key_;
    const std::string rowKey_;
    const ClaimRow row_;
    EndHandler done_; ///< Empty after the attempt has ended.
    TimePoint startTime_{};
    int writeCount_ = 0;
    bool mayBeWritten_ = false;
};

} // namespace qz
