// Writes on behalf of entry instances.
#include "qz_once/homes/claimhome.h"

#include "qz_once/claims/claimrow.h"

#include <utility>

namespace qz {

namespace {

ClaimWriteResult resultOf(const Result<RowWriteOutcome> &outcome)
{
    if (outcome.has_value()) {
        return outcome.value() == RowWriteOutcome::Applied ? ClaimWriteResult::Applied
                                                           : ClaimWriteResult::Conflict;
    }
    return outcome.error().kind_ == ErrorKind::StoreUnavailable ? ClaimWriteResult::Unavailable
                                                                : ClaimWriteResult::Undecided;
}

} // namespace

void ClaimHome::handle(const ClaimRequest &request, Answer answer)
{
    if (!isClaimRowKey(request.rowKey_)) {
        answer(ClaimAnswer{ request.id_, ClaimWriteResult::Unavailable });
        return;
    }
    std::optional<std::string> value;
    if (!request.value_.empty()) {
        value = request.value_;
    }
    write_(TableWrite{ request.rowKey_, request.expectedVersion_, std::move(value) },
           [id = request.id_, answer = std::move(answer)](const auto &outcome) {
               answer(ClaimAnswer{ id, resultOf(outcome) });
           });
}

} // namespace qz
