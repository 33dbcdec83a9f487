// Merging of the platform's list, self-reported states and verdicts.
#include "qz_fleet/membership/membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace qz {

namespace {

constexpr std::size_t maxMembers = 8192;

std::uint64_t hashOf(const MemberUpdate &update)
{
    std::string text = update.id_.value();
    text += '\n' + update.incarnation_;
    text += '\n' + std::to_string(update.version_);
    text += '\n' + std::to_string(update.verdict_);
    text += update.isLeaving_ ? "\nleaving" : "\nlive";
    return XXH3_64bits(text.data(), text.size());
}

bool isSame(const Member &a, const Member &b)
{
    const auto tie = [](const Member &member) {
        return std::tie(member.incarnation_, member.state_, member.peerEndpoint_,
                        member.callerEndpoint_, member.location_.region_,
                        member.location_.failureDomain_);
    };
    return tie(a) == tie(b);
}

} // namespace

std::string_view toString(MemberState state)
{
    return state == MemberState::Live ? "live" : "leaving";
}

std::string_view toString(MemberChangeKind kind)
{
    switch (kind) {
    case MemberChangeKind::Joined:
        return "joined";
    case MemberChangeKind::Restarted:
        return "restarted";
    case MemberChangeKind::Updated:
        return "updated";
    case MemberChangeKind::Gone:
        break;
    }
    return "gone";
}

MemberTable::MemberTable(MemberUpdate self)
    : self_(std::move(self))
    , syncPosition_(self_.id_) // Neighbours start at different members and send different updates.
{
    assert(isValid(self_) && self_.isSelfReported());
    markChanged(self_.id_);
}

void MemberTable::markSelfLeaving()
{
    self_.isLeaving_ = true;
    markChanged(self_.id_);
}

void MemberTable::markSelfStopped()
{
    self_.isLeaving_ = true;
    self_.setVerdict(MemberVerdict::Dead);
    self_.reporters_ = { self_.id_ };
    markChanged(self_.id_);
}

MergeResult MemberTable::merge(const MemberUpdate &update, TimePoint now)
{
    if (update.id_ == self_.id_) {
        return mergeUpdateAboutSelf(update);
    }
    const auto entry = records_.find(update.id_);
    if (entry == records_.end()) {
        return mergeUnknownMember(update);
    }
    Record &record = entry->second;
    const bool wasSelfReported = record.update_.isSelfReported();
    const bool wasDead = record.update_.isDead();
    if (!mergeUpdate(record.update_, update)) {
        return MergeResult::Unchanged;
    }
    if (record.update_.isDead() && !wasDead) {
        record.deadSince_ = now;
    }
    markChanged(update.id_);
    const bool isFirstSelfReport = !wasSelfReported && !wasDead && !record.update_.isLeaving_
            && record.update_.verdict() == MemberVerdict::Alive;
    return isFirstSelfReport ? MergeResult::ChangedSyncLater : MergeResult::ChangedGossipNow;
}

std::vector<InstanceId> MemberTable::applyListing(const InstanceListing &listing)
{
    std::set<InstanceId> listedNow;
    for (const ListedInstance &listed : listing.instances_) {
        listedNow.insert(listed.id_);
        applyListedInstance(listed);
    }
    std::vector<InstanceId> dropped;
    for (auto &[id, record] : records_) {
        if (record.isListed_ && listedNow.count(id) == 0) {
            record.isListed_ = false;
            record.isListedLeaving_ = false;
            dropped.push_back(id);
            markChanged(id);
        }
    }
    return dropped;
}

bool MemberTable::addSuspicion(const InstanceId &member, const InstanceId &reporter)
{
    const auto entry = records_.find(member);
    if (entry == records_.end() || entry->second.update_.isDead()) {
        return false;
    }
    MemberUpdate &update = entry->second.update_;
    const bool wasAlive = update.verdict() == MemberVerdict::Alive;
    if (wasAlive) {
        update.setVerdict(MemberVerdict::Suspect);
        update.reporters_.clear();
    }
    const bool isNew = addReporter(update, reporter);
    if (isNew) {
        markChanged(member);
    }
    return isNew;
}

bool MemberTable::declareDead(const InstanceId &member, TimePoint now)
{
    const auto entry = records_.find(member);
    if (entry == records_.end() || entry->second.update_.isDead()) {
        return false;
    }
    entry->second.update_.setVerdict(MemberVerdict::Dead);
    entry->second.deadSince_ = now;
    markChanged(member);
    return true;
}

void MemberTable::removeExpired(TimePoint now, Duration retention)
{
    for (auto entry = records_.begin(); entry != records_.end();) {
        const Record &record = entry->second;
        const bool isOld = record.update_.isDead() && now - record.deadSince_ >= retention;
        const bool isRemovable = !record.isListed_ && !record.reported_
                && (isOld || !record.update_.isSelfReported());
        entry = isRemovable ? records_.erase(entry) : std::next(entry);
    }
}

const MemberUpdate *MemberTable::find(const InstanceId &member) const
{
    const auto entry = records_.find(member);
    return entry == records_.end() ? nullptr : &entry->second.update_;
}

std::vector<MemberUpdate> MemberTable::nextSyncUpdates(std::size_t count)
{
    std::vector<MemberUpdate> updates;
    auto entry = records_.upper_bound(syncPosition_);
    for (std::size_t visited = 0; visited < records_.size() && updates.size() < count; ++visited) {
        if (entry == records_.end()) {
            entry = records_.begin();
        }
        syncPosition_ = entry->first;
        if (entry->second.update_.isSelfReported()) {
            updates.push_back(entry->second.update_);
        }
        ++entry;
    }
    return updates;
}

std::vector<InstanceId> MemberTable::deadMembers() const
{
    std::vector<InstanceId> dead;
    for (const auto &[id, record] : records_) {
        if (record.update_.isDead()) {
            dead.push_back(id);
        }
    }
    return dead;
}

std::vector<Peer> MemberTable::peers() const
{
    std::vector<Peer> peers;
    peers.reserve(records_.size());
    for (const auto &[id, record] : records_) {
        peers.push_back(Peer{ id, record.update_.peerEndpoint_ });
    }
    return peers;
}

std::vector<MemberChange> MemberTable::takeChanges()
{
    std::vector<MemberChange> changes;
    for (const InstanceId &id : std::exchange(changedMembers_, {})) {
        const auto entry = records_.find(id);
        if (id != self_.id_ && entry == records_.end()) {
            continue;
        }
        auto &reported = id == self_.id_ ? reportedSelf_ : entry->second.reported_;
        if (auto change = detectChange(id, reported)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

MergeResult MemberTable::mergeUpdateAboutSelf(const MemberUpdate &update)
{
    if (self_.isDead()) {
        return MergeResult::Unchanged;
    }
    const bool isSuspected =
            isSameVersion(update, self_) && update.verdict() != MemberVerdict::Alive;
    if (!isSuspected && !isNewer(update, self_)) {
        return MergeResult::Unchanged;
    }
    self_.version_ = update.version_ + 1;
    markChanged(self_.id_);
    return MergeResult::ChangedGossipNow;
}

MergeResult MemberTable::mergeUnknownMember(const MemberUpdate &update)
{
    if (update.isDead() || !update.isSelfReported() || records_.size() >= maxMembers) {
        return MergeResult::Unchanged;
    }
    records_[update.id_].update_ = update;
    markChanged(update.id_);
    return MergeResult::ChangedGossipNow;
}

void MemberTable::applyListedInstance(const ListedInstance &listed)
{
    const bool isLeaving = listed.state_ == ListedState::Leaving;
    if (listed.id_ == self_.id_) {
        isListedLeaving_ = isLeaving;
        return;
    }
    if (records_.size() >= maxMembers && records_.count(listed.id_) == 0) {
        return;
    }
    Record &record = records_[listed.id_];
    record.isListed_ = true;
    record.isListedLeaving_ = isLeaving;
    markChanged(listed.id_);
    if (record.update_.isSelfReported()) {
        return;
    }
    record.update_.id_ = listed.id_;
    record.update_.peerEndpoint_ = listed.peerEndpoint_;
    record.update_.callerEndpoint_ = listed.callerEndpoint_;
    record.update_.location_ = listed.location_;
}

/// Records a change of @p member and updates the digest. Must be called after each change.
void MemberTable::markChanged(const InstanceId &member)
{
    changedMembers_.insert(member);
    const auto entry = records_.find(member);
    const bool isSelf = member == self_.id_;
    const MemberUpdate &update = isSelf ? self_ : entry->second.update_;
    std::uint64_t &hash = isSelf ? selfHash_ : entry->second.hash_;
    digest_ ^= hash;
    hash = update.isSelfReported() && !update.isDead() ? hashOf(update) : 0;
    digest_ ^= hash;
}

std::optional<Member> MemberTable::currentMember(const InstanceId &member) const
{
    if (member == self_.id_) {
        return self_.isDead() ? std::nullopt
                              : std::optional<Member>(toMember(self_, isListedLeaving_));
    }
    const auto entry = records_.find(member);
    if (entry == records_.end()) {
        return std::nullopt;
    }
    const Record &record = entry->second;
    const bool isListedOrSelfReported = record.isListed_ || record.update_.isSelfReported();
    if (!isListedOrSelfReported || record.update_.isDead()) {
        return std::nullopt;
    }
    return toMember(record.update_, record.isListedLeaving_);
}

std::optional<MemberChange> MemberTable::detectChange(const InstanceId &member,
                                                      std::optional<Member> &reported)
{
    const std::optional<Member> before = std::exchange(reported, currentMember(member));
    if (!before && !reported) {
        return std::nullopt;
    }
    if (!reported) {
        return MemberChange{ MemberChangeKind::Gone, *before };
    }
    if (!before) {
        return MemberChange{ MemberChangeKind::Joined, *reported };
    }
    if (!before->incarnation_.empty() && before->incarnation_ != reported->incarnation_) {
        return MemberChange{ MemberChangeKind::Restarted, *reported };
    }
    if (!isSame(*before, *reported)) {
        return MemberChange{ MemberChangeKind::Updated, *reported };
    }
    return std::nullopt;
}

Member MemberTable::toMember(const MemberUpdate &update, bool isListedLeaving)
{
    Member member;
    member.id_ = update.id_;
    member.incarnation_ = update.incarnation_;
    member.state_ = update.isLeaving_ || isListedLeaving ? MemberState::Leaving : MemberState::Live;
    member.peerEndpoint_ = update.peerEndpoint_;
    member.callerEndpoint_ = update.callerEndpoint_;
    member.location_ = update.location_;
    return member;
}

} // namespace qz
