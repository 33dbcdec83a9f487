// What is known of the voters of a head.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_rules/spread/messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace qz {

VoterId makeVoterId(const InstanceId &instance, const std::string &incarnation);
InstanceId instanceOf(const VoterId &voter);

/// Statements of voters, merged, and which voters are gone for good.
///
/// A statement says: as of some time, the voter knew of no head above this one. Stamps only
/// rise, so merging takes the highest of each part.
/// @see RulesKeeper
class VoterLedger
{
public:
    explicit VoterLedger(Duration goneAfter)
        : goneAfter_(goneAfter)
    {
    }
    VoterLedger(const VoterLedger &) = delete;
    VoterLedger &operator=(const VoterLedger &) = delete;

    /// Forgets everybody who is not in @p roster.
    void setRoster(std::vector<VoterId> roster);
    const std::vector<VoterId> &roster() const { return roster_; }

    void take(const VoterId &voter, const RulesDigest &digest, TimePoint asOf);

    /// The instances that the platform lists, and the members that are alive, as of @p now.
    void setListed(const std::set<InstanceId> &listed, const std::vector<VoterId> &members,
                   TimePoint now);

    /// The latest time as of which a majority of @p voters knew of nothing above @p head.
    std::optional<TimePoint> confirmedAt(const std::vector<VoterId> &voters,
                                         const RulesStamp &head) const;

    /// Whether a majority of @p voters holds @p head or a later one, or is gone.
    bool isHeld(const std::vector<VoterId> &voters, const RulesStamp &head) const;

    /// Whether a majority of @p voters has been heard as of @p since or later, or is gone.
    bool isReached(const std::vector<VoterId> &voters, TimePoint since) const;

    /// Statements about the roster as of @p now, for a peer.
    std::vector<RulesVoucher> vouchers(TimePoint now) const;

private:
    struct Statement
    {
        RulesDigest digest_;
        TimePoint asOf_;
    };

    bool isGone(const VoterId &voter) const;

    Duration goneAfter_;
    std::vector<VoterId> roster_;
    std::map<VoterId, Statement> statements_;   ///< Of the roster only.
    std::map<VoterId, TimePoint> missingSince_; ///< Not in the list, all the time since.
    std::set<VoterId> replaced_;                ///< Their instance has another life.
    std::optional<TimePoint> listedAt_;
};

/// The number of voters that make a majority of @p count.
constexpr std::size_t majorityOf(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace qz
