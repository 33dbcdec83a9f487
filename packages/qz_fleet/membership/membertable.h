// Everything that this instance knows about the members.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_fleet/links/peer.h"
#include "qz_fleet/membership/member.h"
#include "qz_fleet/membership/memberupdate.h"
#include "qz_platform/instances/instancelist.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace qz {

/// What became of an update.
enum class MergeResult {
    Unchanged,        ///< Nothing new.
    ChangedSyncLater, ///< New, and left to the comparison of views to spread.
    ChangedGossipNow, ///< New, and to be told to others at once.
};

/// Merges the platform's list with the members' own word and the verdicts on them. A
/// member's own word goes before the list; the list alone never brings a dead one back.
/// @see Membership, MemberUpdate
class MemberTable
{
public:
    explicit MemberTable(MemberUpdate self);

    const MemberUpdate &self() const { return self_; }

    /// Marks this instance as leaving.
    void leave();

    /// Marks this instance as ended. Nothing is refuted afterwards.
    void end();

    /// Merges what another instance says, about itself or a third one. A verdict on this
    /// instance is refuted by raising its version.
    MergeResult merge(const MemberUpdate &news, TimePoint now);

    /// Takes the platform's list. Returns the members that it listed before and no more.
    std::vector<InstanceId> applyListing(const InstanceListing &listing);

    /// Adds a suspicion by @p accuser. True if it is new.
    bool addSuspicion(const InstanceId &member, const InstanceId &accuser);

    /// Declares @p member dead. True if it was not.
    bool declareDead(const InstanceId &member, TimePoint now);

    /// Forgets dead members that are not listed after @p retention.
    void removeExpired(TimePoint now, Duration retention);

    /// Null if nothing is known of @p member, or if it is this instance.
    const MemberUpdate *find(const InstanceId &member) const;

    /// The next @p count members after the last call, for the comparison of views.
    std::vector<MemberUpdate> nextSyncUpdates(std::size_t count);

    std::vector<InstanceId> deadMembers() const;

    /// Where all members but this instance listen for links, the dead ones too.
    std::vector<Peer> peers() const;

    /// Equal on two instances that know the same of the same members.
    std::uint64_t digest() const { return digest_; }

    /// Changes since the last call.
    std::vector<MemberChange> takeChanges();

    /// True if the platform lists this instance as leaving.
    bool isListedLeaving() const { return isListedLeaving_; }

private:
    struct Record
    {
        MemberUpdate update_;
        bool isListed_ = false;
        bool isListedLeaving_ = false;   ///< Only if isListed_.
        TimePoint deadSince_;            ///< Only meaningful for a dead member.
        std::uint64_t hash_ = 0;         ///< What it adds to digest_.
        std::optional<Member> reported_; ///< As takeChanges() last told it; empty if gone.
    };
    using Records = std::map<InstanceId, Record>;

    MergeResult mergeSelf(const MemberUpdate &news);
    MergeResult mergeUnknown(const MemberUpdate &news);
    void applyListed(const ListedInstance &listed);
    void touch(const InstanceId &member);
    std::optional<Member> effective(const InstanceId &member) const;
    std::optional<MemberChange> changeOf(const InstanceId &member, std::optional<Member> &reported);
    static Member toMember(const MemberUpdate &update, bool isListedLeaving);

    MemberUpdate self_; ///< Its version only rises.
    std::optional<Member> reportedSelf_;
    bool isListedLeaving_ = false;
    Records records_;              ///< Never holds this instance; at most maxMembers.
    InstanceId turn_;              ///< Where nextSyncUpdates() goes on.
    std::set<InstanceId> touched_; ///< Since the last takeChanges().
    std::uint64_t selfHash_ = 0;
    std::uint64_t digest_ = 0; ///< The exclusive or of selfHash_ and all hash_ of records_.
};

} // namespace qz
