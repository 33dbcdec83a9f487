// Helpers for messages about rules.
#include "qz_rules/spread/messages.h"

#include <algorithm>

namespace qz {

std::vector<VoterId> rosterOf(const RulesHead &head)
{
    std::vector<VoterId> roster = head.voters_;
    for (const VoterId &voter : head.previousVoters_) {
        if (std::find(roster.begin(), roster.end(), voter) == roster.end()) {
            roster.push_back(voter);
        }
    }
    return roster;
}

} // namespace qz
