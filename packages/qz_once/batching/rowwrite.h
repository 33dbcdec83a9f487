// One conditional write of a claim row, whatever way it takes to the table.
#pragma once

#include "qz_platform/table/table.h"

#include <functional>

namespace qz {

/// What the table decided about one row.
enum class RowWriteOutcome {
    Applied,
    Conflict, ///< The condition did not hold; the row is as it was.
};

/// Errors as for Table::commit(): after StoreUnavailable the write certainly has no effect,
/// after any other error it may take effect, now or later.
using RowWriteDone = std::function<void(Result<RowWriteOutcome>)>;

/// Ends exactly once, maybe before it returns.
using RowWriter = std::function<void(TableWrite, RowWriteDone)>;

} // namespace qz
