// Conditional updates of rows by token and version.
#include "qz_once/claims/claimrowupdater.h"

#include <utility>

namespace qz {

ClaimRowUpdater::ClaimRowUpdater(Table &table, RowWriter write, std::size_t inFlightLimit,
                                 std::size_t queueLimit)
    : table_(table)
    , write_(std::move(write))
    , inFlightLimit_(inFlightLimit)
    , queueLimit_(queueLimit)
{
}

void ClaimRowUpdater::add(ClaimRowUpdate update)
{
    if (queue_.size() >= queueLimit_) {
        ++droppedCount_;
        return;
    }
    if (update.newRow_ && update.newRow_->state_ == ClaimState::Released) {
        queue_.push_front(std::move(update));
    } else {
        queue_.push_back(std::move(update));
    }
    startNext();
}

void ClaimRowUpdater::resetQuota(std::size_t count)
{
    quota_ = count;
    for (std::size_t i = 0; i < inFlightLimit_; ++i) {
        startNext();
    }
}

void ClaimRowUpdater::startNext()
{
    if (queue_.empty() || inFlight_ >= inFlightLimit_ || quota_ == 0) {
        return;
    }
    const ClaimRowUpdate update = std::move(queue_.front());
    queue_.pop_front();
    ++inFlight_;
    --quota_;
    if (update.version_ != 0) {
        writeRow(update, update.version_);
    } else {
        readRow(update);
    }
}

void ClaimRowUpdater::readRow(const ClaimRowUpdate &update)
{
    table_.read(update.rowKey_,
                [this, update, alive = std::weak_ptr<bool>(isAlive_)](
                        const Result<std::optional<TableRow>> &result) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!result.has_value() || !result.value().has_value()) {
                        onEnded();
                        return;
                    }
                    const Result<ClaimRow> found = parseClaimRow(result.value()->value_);
                    if (found.has_value() && found.value().token_ == update.token_) {
                        writeRow(update, result.value()->version_);
                    } else {
                        onEnded();
                    }
                });
}

void ClaimRowUpdater::writeRow(const ClaimRowUpdate &update, RowVersion version)
{
    std::optional<std::string> value;
    if (update.newRow_) {
        value = toJson(*update.newRow_);
    }
    write_(TableWrite{ update.rowKey_, version, std::move(value) },
           [this, alive = std::weak_ptr<bool>(isAlive_)](const Result<RowWriteOutcome> &) {
               if (!alive.expired()) {
                   onEnded();
               }
           });
}

void ClaimRowUpdater::onEnded()
{
    --inFlight_;
    startNext();
}

} // namespace qz
