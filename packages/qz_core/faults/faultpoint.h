// Points at which a test build breaks a rule on purpose, to show that the proof of that rule
// would notice.
#pragma once

#include <cstdint>

namespace qz {

/// The rules that can be broken on purpose.
enum class FaultPoint : std::uint8_t {
    ClaimSkipped,    ///< A non-repeatable request is sent without a claim.
    NotRunGuessed,   ///< A request that was cut is told as not run.
    AnswerUnmatched, ///< A gate's answer is given to any request that waits for that gate.
    LeavingIgnored,  ///< A leaving backend server still gets work.
    DrainSkipped,    ///< A planned stop ends at once.
    RulesFrozen,     ///< A newer version of the rules is not taken over.
    OnceResent,      ///< A non-repeatable request that was cut is sent to another server.
    BudgetIgnored,   ///< Retries are sent without regard to the retry budget.
};

/// Whether the rule is to be broken. Always false in the shipped programs, which link the
/// definition in this package; a test build links one of its own in its place.
bool isFaultInjected(FaultPoint point);

} // namespace qz
