// Rows waiting to be erased.
#include "qz_once/claims/claimkeeper.h"

#include <utility>

namespace qz {

void ClaimKeeper::add(KeptRow row, TimePoint eraseAt)
{
    if (rows_.size() >= limit_) {
        ++forgottenCount_;
        return;
    }
    rows_.emplace(eraseAt, std::move(row));
}

std::optional<KeptRow> ClaimKeeper::takeDue(TimePoint now)
{
    const auto oldest = rows_.begin();
    if (oldest == rows_.end() || oldest->first > now) {
        return std::nullopt;
    }
    std::optional<KeptRow> row = std::move(oldest->second);
    rows_.erase(oldest);
    return row;
}

} // namespace qz
