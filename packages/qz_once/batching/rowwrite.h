// A conditional write of a claim row, directly to the table or through a ClaimBatcher.
#pragma once

#include "qz_platform/table/table.h"

#include <functional>

namespace qz {

/// The table's decision on a write.
enum class RowWriteOutcome {
    Applied,
    Conflict, ///< The condition did not hold; the row is unchanged.
};

/// Receives the decision, or an error as of Table::commit(): after StoreUnavailable the write has
/// no effect; after any other error it may take effect, now or later.
using RowWriteDone = std::function<void(Result<RowWriteOutcome>)>;

/// Writes one row and calls the RowWriteDone exactly once, possibly before it returns.
using RowWriter = std::function<void(TableWrite, RowWriteDone)>;

} // namespace qz
