// What instances tell each other about the rules.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_rules/store/ruleshead.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace qz {

/// Which rules an instance knows of and which it works by. Rides on each message between
/// instances, as a hint: it says that there is something newer, and confirms nothing.
struct RulesDigest
{
    RulesStamp known_;   ///< The newest head it has heard of.
    RulesStamp adopted_; ///< The newest head whose document it holds.
};

/// What one voter knew at a time in the past.
struct RulesVoucher
{
    std::uint16_t voter_ = 0; ///< Index into rosterOf() the head RulesDigest::known_.
    RulesDigest digest_;
    Duration age_{}; ///< An upper bound, by the clock of the sender.
};

/// Asks a peer what it knows, and for objects.
struct RulesRequest
{
    std::uint64_t id_ = 0; ///< Chosen by the sender; the answer repeats it.
    RulesStamp known_;
    std::vector<ObjectHash> wanted_;
};

/// Invariant: every age in an answer counts from before the answer was made, so that an
/// answer is true of the time at which its request was sent, less that age.
struct RulesAnswer
{
    std::uint64_t requestId_ = 0;
    RulesDigest digest_;
    std::optional<RulesHead> head_;    ///< That of digest_.known_, if the asker knows less.
    std::optional<Duration> tableAge_; ///< Since the table named digest_.known_ as its head.
    std::vector<RulesVoucher> vouchers_;
    std::map<ObjectHash, std::string> objects_; ///< Those of the wanted ones that it holds.
};

/// All voters that matter to @p head: its own, then those of the head before that are not
/// among them.
std::vector<VoterId> rosterOf(const RulesHead &head);

} // namespace qz
