// The writes and reads of one claim.
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
    startTime_ = context_.clock_.now();
    writeRow(0);
}

void ClaimAttempt::writeRow(RowVersion expectedVersion)
{
    const bool isLate = context_.clock_.now() - startTime_ >= context_.limits_.retryTimeLimit_;
    if (isLate || writeCount_ >= context_.limits_.maxWrites_) {
        fail(mayBeWritten_ ? ErrorKind::ClaimUndecided : ErrorKind::ClaimStoreUnavailable,
             "the table did not take the claim in time");
        return;
    }
    ++writeCount_;
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
        // The row belongs to another claim, or to a write of this one whose response was lost.
        readBack();
        return;
    }
    const bool wasNotWritten = outcome.error().kind_ == ErrorKind::StoreUnavailable;
    if (wasNotWritten && !mayBeWritten_) {
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
            failAlreadyClaimed("the key is claimed; its row cannot be read: "
                               + result.error().message_);
        }
        return;
    }
    if (!result.value().has_value()) {
        // The row is absent, but an earlier write may still take effect. Writing the same token
        // again is safe: whichever write is applied, the row holds the token of this attempt,
        // which grants the claim only once.
        writeRow(0);
        return;
    }
    onRowRead(*result.value());
}

void ClaimAttempt::onRowRead(const TableRow &row)
{
    const Result<ClaimRow> found = parseClaimRow(row.value_);
    if (!found.has_value()) {
        failAlreadyClaimed(found.error().message_);
    } else if (found.value().token_ == row_.token_) {
        grant(row.version_);
    } else if (found.value().state_ == ClaimState::Released) {
        writeRow(row.version_);
    } else {
        failAlreadyClaimed(describe(found.value()));
    }
}

void ClaimAttempt::grant(RowVersion version)
{
    const TimePoint sendBefore = startTime_ + context_.limits_.sendWindow_;
    if (context_.clock_.now() >= sendBefore) {
        mayBeWritten_ = true;
        fail(ErrorKind::ClaimUndecided, "the claim took longer than its send window");
        return;
    }
    assert(done_);
    std::exchange(done_, nullptr)(
            End{ ClaimGrant{ workspace_, key_, row_.token_, sendBefore, version }, false });
}

void ClaimAttempt::failAlreadyClaimed(const std::string &message)
{
    fail(ErrorKind::AlreadyClaimed, message);
}

void ClaimAttempt::fail(ErrorKind kind, const std::string &message)
{
    assert(done_);
    std::exchange(done_, nullptr)(End{ failure(kind, message), mayBeWritten_ });
}

} // namespace qz
