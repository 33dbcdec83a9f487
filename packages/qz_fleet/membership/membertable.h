// The member states that this instance knows.
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

/// The effect of an update on the table.
enum class MergeResult {
    Unchanged,        ///< The update had no new information.
    ChangedSyncLater, ///< Changed; anti-entropy sync is enough to spread it.
    ChangedGossipNow, ///< Changed; to be gossiped at once.
};

/// Merges the platform's list with the states that members report themselves and the verdicts on
/// them. A state that a member reports takes precedence over the list. The list alone never revives
/// a dead member.
/// @see Membership, MemberUpdate
class MemberTable
{
public:
    explicit MemberTable(MemberUpdate self);

    const MemberUpdate &self() const { return self_; }

    /// Marks this instance as leaving.
    void markSelfLeaving();

    /// Marks this instance as stopped. It refutes no verdict afterwards.
    void markSelfStopped();

    /// Merges an update that another instance sent about itself or a third one. Refutes a verdict
    /// on this instance by raising its version.
    MergeResult merge(const MemberUpdate &update, TimePoint now);

    /// Applies the platform's list. Returns the members that are no longer listed.
    std::vector<InstanceId> applyListing(const InstanceListing &listing);

    /// Marks @p member as suspect, reported by @p reporter. Returns true if the reporter is new.
    bool addSuspicion(const InstanceId &member, const InstanceId &reporter);

    /// Declares @p member dead. Returns true if it was not dead before.
    bool declareDead(const InstanceId &member, TimePoint now);

    /// Removes unlisted members that have been dead for @p retention or never reported.
    void removeExpired(TimePoint now, Duration retention);

    /// Returns null if @p member is unknown or is this instance.
    const MemberUpdate *find(const InstanceId &member) const;

    /// Returns at most @p count self-reported members for anti-entropy sync, in round-robin order
    /// across calls.
    std::vector<MemberUpdate> nextSyncUpdates(std::size_t count);

    std::vector<InstanceId> deadMembers() const;

    /// Returns where all members but this instance listen for links, including dead ones.
    std::vector<Peer> peers() const;

    /// Returns a digest that is equal for instances that have the same self-reported, not dead
    /// members in the same states.
    std::uint64_t digest() const { return digest_; }

    /// Returns the changes since the last call.
    std::vector<MemberChange> takeChanges();

    /// Returns true if the platform lists this instance as leaving.
    bool isListedLeaving() const { return isListedLeaving_; }

private:
    struct Record
    {
        MemberUpdate update_;
        bool isListed_ = false;
        bool isListedLeaving_ = false;   ///< Implies isListed_.
        TimePoint deadSince_;            ///< Valid only for a dead member.
        std::uint64_t hash_ = 0;         ///< Its part of digest_; 0 if none.
        std::optional<Member> reported_; ///< As takeChanges() last returned it; empty if gone.
    };
    using Records = std::map<InstanceId, Record>;

    MergeResult mergeUpdateAboutSelf(const MemberUpdate &update);
    MergeResult mergeUnknownMember(const MemberUpdate &update);
    void applyListedInstance(const ListedInstance &listed);
    void markChanged(const InstanceId &member);
    std::optional<Member> currentMember(const InstanceId &member) const;
    std::optional<MemberChange> detectChange(const InstanceId &member,
                                             std::optional<Member> &reported);
    static Member toMember(const MemberUpdate &update, bool isListedLeaving);

    MemberUpdate self_; ///< Its version never decreases.
    std::optional<Member> reportedSelf_;
    bool isListedLeaving_ = false;
    Records records_;                     ///< Without this instance; at most maxMembers.
    InstanceId syncPosition_;             ///< The last member that nextSyncUpdates() visited.
    std::set<InstanceId> changedMembers_; ///< Since the last takeChanges().
    std::uint64_t selfHash_ = 0;
    std::uint64_t digest_ = 0; ///< The XOR of selfHash_ and the hash_ of all records.
};

} // namespace qz
