// The steps of one claim.
#include "qz_once/claims/claimattempt.h"

#include <cassert>
#include <utility>

namespace qz {

namespace {

std::string describe(const ClaimRow &row)
{
    return "the key was claimed by " + row.claimer_.value() + "; its state is "
            + std::string(toString(row.state_));
}

} // namespace

ClaimAttempt::ClaimAttempt(Context context, WorkspaceId workspace, IdempotencyKey key, ClaimRow row,
                           EndHandler done)
    : context_(std::move(context))
    , workspace_(std::move(workspace))
    , key_(std::move(key))
    , rowKey_(claimRowKey(workspace_, key_))
    , row_(std::move(row))
    , done_(std::move(done))
{
}

void ClaimAttempt::start()
{
    startedAt_ = context_.clock_.now();
    writeRow(0);
}

void ClaimAttempt::writeRow(RowVersion expectedVersion)
{
    const bool isLate = context_.clock_.now() - startedAt_ >= context_.limits_.retryTimeLimit_;
    if (isLate || maxWrites_ >= context_.limits_.maxWrites_) {
        fail(mayBeWritten_ ? ErrorKind::ClaimUndecided : ErrorKind::ClaimStoreUnavailable,
             "the table did not take the claim in time");
        return;
    }
    ++maxWrites_;
    context_.write_(TableWrite{ rowKey_, expectedVersion, toJson(row_) },
                    [self = shared_from_this()](const auto &outcome) { self->onWritten(outcome); });
}

void ClaimAttempt::onWritten(const Result<RowWriteOutcome> &outcome)
{
    if (outcome.has_value()) {
        if (outcome.value() == RowWriteOutcome::Applied) {
            mayBeWritten_ = true;
            grant(0);
            return;
        }
        readBack(); // Somebody else's row, or our own from a try whose answer was lost.
        return;
    }
    const bool wasRefused = outcome.error().kind_ == ErrorKind::StoreUnavailable;
    if (wasRefused && !mayBeWritten_) {
        fail(ErrorKind::ClaimStoreUnavailable, outcome.error().message_);
        return;
    }
    mayBeWritten_ = true;
    readBack();
}

void ClaimAttempt::readBack()
{
    context_.table_.read(rowKey_,
                         [self = shared_from_this()](const auto &result) { self->onRead(result); });
}

void ClaimAttempt::onRead(const Result<std::optional<TableRow>> &result)
{
    if (!result.has_value()) {
        if (mayBeWritten_) {
            fail(ErrorKind::ClaimUndecided, "the answer was lost: " + result.error().message_);
        } else {
            refuse("the key is claimed; its row cannot be read: " + result.error().message_);
        }
        return;
    }
    if (!result.value().has_value()) {
        // Absent, but an earlier write may still take effect. The same token is written again:
        // whichever write wins, the row names this attempt, which grants once.
        writeRow(0);
        return;
    }
    onRowRead(*result.value());
}

void ClaimAttempt::onRowRead(const TableRow &row)
{
    const Result<ClaimRow> found = parseClaimRow(row.value_);
    if (!found.has_value()) {
        refuse(found.error().message_);
    } else if (found.value().token_ == row_.token_) {
        grant(row.version_);
    } else if (found.value().state_ == ClaimState::Released) {
        writeRow(row.version_);
    } else {
        refuse(describe(found.value()));
    }
}

void ClaimAttempt::grant(RowVersion version)
{
    const TimePoint sendBefore = startedAt_ + context_.limits_.sendWindow_;
    if (context_.clock_.now() >= sendBefore) {
        mayBeWritten_ = true;
        fail(ErrorKind::ClaimUndecided, "the claim took longer than its send window");
        return;
    }
    assert(done_);
    std::exchange(done_, nullptr)(
            End{ ClaimGrant{ workspace_, key_, row_.token_, sendBefore, version }, false });
}

void ClaimAttempt::refuse(const std::string &why)
{
    fail(ErrorKind::AlreadyClaimed, why);
}

void ClaimAttempt::fail(ErrorKind kind, const std::string &message)
{
    assert(done_);
    std::exchange(done_, nullptr)(End{ failure(kind, message), mayBeWritten_ });
}

} // namespace qz
