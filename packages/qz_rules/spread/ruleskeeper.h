// Decides which rules one instance works by, and whether they are in force.
#pragma once

#include "qz_rules/spread/messages.h"
#include "qz_rules/spread/voterledger.h"
#include "qz_rules/store/rulesstore.h"

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace qz {

/// Times and counts of the spread of rules.
struct RulesSpreadSettings
{
    Duration inForceLimit_ = std::chrono::seconds(5);  ///< From acceptance to in force.
    Duration pollInterval_ = std::chrono::seconds(1);  ///< Between a poller's table reads.
    Duration escalateAfter_ = std::chrono::seconds(3); ///< Doubles the pollers, see isPollDue().
    Duration silentAfter_ = std::chrono::seconds(2);   ///< Without an answer from any peer.
    Duration goneAfter_ = std::chrono::seconds(60);    ///< Unlisted for so long: gone.
    /// Members have to be others than the voters for so long; above inForceLimit_.
    Duration renewAfter_ = std::chrono::seconds(10);
    std::size_t pollerCount_ = 3;
    std::size_t pollerLimit_ = 32;
    std::size_t voterLimit_ = 31;
};

/// The rules of one instance: a state machine without sockets, timers or random sources of
/// its own. Times are those of the caller's Clock.
///
/// Invariants:
///  - The adopted version never falls.
///  - isInForce() only if, as of a time less than inForceLimit ago, no version above the
///    adopted one had been accepted. Two things prove it: the table named the adopted
///    version's head as its head, or a majority of that head's voters knew of nothing above it.
///    The second is proof because a version is only called accepted once a majority of the
///    voters of the head before holds it (isEstablished()), and because no head is written on
///    top of one that is not established (canPublish()).
///  - A time "as of" is when the question was sent, never when an answer came in: an answer
///    that was long on its way is old.
/// @see RulesService, docs/RULES.md
class RulesKeeper
{
public:
    RulesKeeper(VoterId self, RulesSpreadSettings settings, TimePoint now);
    RulesKeeper(const RulesKeeper &) = delete;
    RulesKeeper &operator=(const RulesKeeper &) = delete;

    /// Lets this instance vouch for itself as of @p now; to be called several times a second.
    void tick(TimePoint now);

    /// The live members of the fleet, this one among them or not.
    void setMembers(std::vector<VoterId> members);

    /// The instances that the platform has listed as of @p now.
    void setListed(const std::set<InstanceId> &listed, TimePoint now);

    /// Hears a digest on any message. It confirms nothing.
    void takeDigest(const RulesDigest &digest);

    /// Hears an answer from @p from to a request that was sent at @p sentAt.
    void takeAnswer(const VoterId &from, const RulesAnswer &answer, TimePoint sentAt);

    /// Hears the head that the table gave to a read that was sent at @p sentAt.
    void takeTableHead(const RulesHead &head, TimePoint sentAt);

    /// Takes a revision whose head is known; false unless its version is above the adopted.
    bool adopt(RulesRevision revision);

    RulesDigest digest() const;

    /// The answer to @p request, without objects.
    RulesAnswer answer(const RulesRequest &request, TimePoint now) const;

    /// Whether new work may be taken under adopted().
    bool isInForce(TimePoint now) const;

    /// The revision to work by, also while it is not in force; nullptr before the first.
    std::shared_ptr<const RulesRevision> adopted() const { return adopted_; }
    const RulesHead &known() const { return known_; }

    /// Whether a newer one has been heard of than adopted().
    bool isBehind() const;
    /// Whether a newer head has been heard of than known().
    bool isHeadBehind() const { return known_.stamp_ < highestHeard_; }

    /// Whether the table's head is to be read now. A few members do so, the first in an order
    /// by hash; ever more of them, up to a limit, while the table is not heard of; an instance
    /// that hears from no peer or is not in force reads for itself.
    bool isPollDue(TimePoint now) const;
    void notePoll(TimePoint now) { polledAt_ = now; }

    /// A member to ask, or none if this instance is alone.
    std::optional<VoterId> choosePeer(std::mt19937_64 &random) const;

    /// Whether the known head counts as accepted.
    bool isEstablished() const;
    /// Whether a new head may be written on top of the known one: that one is established, and
    /// a majority of its voters has been heard within the in-force limit.
    bool canPublish(TimePoint now) const;
    /// The voters of a new version: those of the known head, so that a change of rules by an
    /// instance that is just being cut off does not hand the vote to its side.
    std::vector<VoterId> votersToPublish() const;
    /// The voters that the members of now call for.
    std::vector<VoterId> chooseVoters() const;
    /// Whether this instance should write the head again with chooseVoters(): they have been
    /// others for a while that is longer than the in-force limit.
    bool isRenewalDue(TimePoint now) const;
    void noteRenewal(TimePoint now) { unsuitedSince_ = now; }

    /// How long ago the adopted version was last confirmed; none if never.
    std::optional<Duration> confirmationAge(TimePoint now) const;
    std::optional<Duration> tableAge(TimePoint now) const;
    bool isPoller(TimePoint now) const;

private:
    void learn(const RulesHead &head);
    void confirm();
    RulesStamp adoptedStamp() const;
    bool areVotersSuited() const;
    std::size_t pollersAllowed(TimePoint now) const;

    VoterId self_;
    RulesSpreadSettings settings_;
    TimePoint startedAt_;
    std::vector<VoterId> members_; ///< Live, without this one.
    std::size_t pollerRank_ = 0;   ///< This one's place among all members.
    RulesHead known_;              ///< The newest head; its stamp never falls.
    RulesStamp highestHeard_;      ///< known_.stamp_ or above.
    std::shared_ptr<const RulesRevision> adopted_;
    std::optional<TimePoint> tableAsOf_; ///< When the table had known_ as its head.
    VoterLedger ledger_;                 ///< Of the roster of known_.
    /// The latest proof for the adopted version; outlives a newer known_.
    std::optional<TimePoint> confirmedAt_;
    std::optional<TimePoint> heardAt_; ///< The sending time of the last answered request.
    std::optional<TimePoint> polledAt_;
    std::optional<TimePoint> unsuitedSince_; ///< chooseVoters() differs from the known voters.
};

} // namespace qz
