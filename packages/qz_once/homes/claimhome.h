// The part of a claim home: writes on behalf of entry instances, in groups.
#pragma once

#include "qz_once/batching/rowwrite.h"
#include "qz_once/homes/claimmessages.h"

#include <functional>
#include <utility>

namespace qz {

/// Makes the writes that entry instances ask for and answers each. Decides nothing: the
/// condition on the row does, and the entry instance judges the answer.
/// @see ClaimRouter
class ClaimHome
{
public:
    using Answer = std::function<void(ClaimAnswer)>;

    /// @p write is that of a ClaimBatcher as a rule.
    explicit ClaimHome(RowWriter write)
        : write_(std::move(write))
    {
    }

    /// Calls @p answer once; Unavailable for a row that is no claim's.
    void handle(const ClaimRequest &request, Answer answer);

private:
    RowWriter write_;
};

} // namespace qz
