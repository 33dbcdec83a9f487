// Which addresses a caller should use.
#include "qz_entries/directory/entrydirectory.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace qz {

namespace {

/// How near a member is to the caller; lower is better.
enum class Nearness { SameFailureDomain, SameRegion, Elsewhere };

struct RatedMember
{
    const EntryMember *member_ = nullptr;
    Nearness nearness_ = Nearness::Elsewhere;
    std::uint64_t weight_ = 0;
};

bool isBetter(const RatedMember &a, const RatedMember &b)
{
    if (a.nearness_ != b.nearness_) {
        return a.nearness_ < b.nearness_;
    }
    if (a.weight_ != b.weight_) {
        return a.weight_ > b.weight_;
    }
    return a.member_->id_ < b.member_->id_;
}

RegionId regionOf(const AddressQuery &query, const std::vector<EntryMember> &members)
{
    if (!query.region_.isEmpty() || query.failureDomain_.isEmpty()) {
        return query.region_;
    }
    const auto neighbour =
            std::find_if(members.begin(), members.end(), [&](const EntryMember &member) {
                return member.location_.failureDomain_ == query.failureDomain_;
            });
    return neighbour == members.end() ? RegionId() : neighbour->location_.region_;
}

Nearness nearnessOf(const Location &location, const FailureDomainId &domain, const RegionId &region)
{
    if (!domain.isEmpty() && location.failureDomain_ == domain) {
        return Nearness::SameFailureDomain;
    }
    if (!region.isEmpty() && location.region_ == region) {
        return Nearness::SameRegion;
    }
    return Nearness::Elsewhere;
}

std::vector<RatedMember> rate(const AddressQuery &query, const std::vector<EntryMember> &members)
{
    const RegionId region = regionOf(query, members);
    std::vector<RatedMember> rated;
    rated.reserve(members.size());
    for (const EntryMember &member : members) {
        if (member.isLeaving_) {
            continue;
        }
        const Nearness nearness = nearnessOf(member.location_, query.failureDomain_, region);
        const std::uint64_t weight = rendezvousWeight(query.caller_, member.id_.value());
        rated.push_back({ &member, nearness, weight });
    }
    std::sort(rated.begin(), rated.end(), isBetter);
    return rated;
}

} // namespace

EntryDirectory::EntryDirectory(Limits limits)
    : limits_(limits)
{
    assert(limits_.minFailureDomains_ <= limits_.maxAddresses_);
}

AddressList EntryDirectory::addressesFor(const AddressQuery &query,
                                         const std::vector<EntryMember> &members) const
{
    AddressList list;
    list.timeToLive_ = limits_.timeToLive_;
    std::set<FailureDomainId> domains;
    std::vector<const EntryMember *> passedOver;
    for (const RatedMember &candidate : rate(query, members)) {
        const std::size_t places = limits_.maxAddresses_ - list.entries_.size();
        const std::size_t missing =
                limits_.minFailureDomains_ - std::min(limits_.minFailureDomains_, domains.size());
        const FailureDomainId &domain = candidate.member_->location_.failureDomain_;
        if (places == 0) {
            break;
        }
        if (domains.count(domain) != 0 && places <= missing) {
            passedOver.push_back(candidate.member_); // The last places are for other domains.
            continue;
        }
        domains.insert(domain);
        list.entries_.push_back(*candidate.member_);
    }
    for (const EntryMember *member : passedOver) {
        if (list.entries_.size() < limits_.maxAddresses_) {
            list.entries_.push_back(*member);
        }
    }
    return list;
}

nlohmann::json AddressList::toJson() const
{
    nlohmann::json addresses = nlohmann::json::array();
    for (const EntryMember &entry : entries_) {
        addresses.push_back({ { "instance", entry.id_.value() },
                              { "host", entry.endpoint_.host_ },
                              { "port", entry.endpoint_.port_ },
                              { "failure_domain", entry.location_.failureDomain_.value() },
                              { "region", entry.location_.region_.value() } });
    }
    const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(timeToLive_);
    return { { "addresses", addresses }, { "keep_ms", keep.count() } };
}

} // namespace qz
