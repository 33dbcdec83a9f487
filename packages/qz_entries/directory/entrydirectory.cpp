// Ranks the members for a caller and fills its address list.
#include "qz_entries/directory/entrydirectory.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace qz {

namespace {

/// Distance between a member and the caller; lower is better.
enum class CallerDistance { SameFailureDomain, SameRegion, OtherRegion };

struct RankedMember
{
    const EntryMember *member_ = nullptr;
    CallerDistance distance_ = CallerDistance::OtherRegion;
    std::uint64_t weight_ = 0;
};

bool isPreferred(const RankedMember &a, const RankedMember &b)
{
    if (a.distance_ != b.distance_) {
        return a.distance_ < b.distance_;
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
    const auto sameDomainMember =
            std::find_if(members.begin(), members.end(), [&](const EntryMember &member) {
                return member.location_.failureDomain_ == query.failureDomain_;
            });
    return sameDomainMember == members.end() ? RegionId() : sameDomainMember->location_.region_;
}

CallerDistance distanceOf(const Location &location, const FailureDomainId &domain,
                          const RegionId &region)
{
    if (!domain.isEmpty() && location.failureDomain_ == domain) {
        return CallerDistance::SameFailureDomain;
    }
    if (!region.isEmpty() && location.region_ == region) {
        return CallerDistance::SameRegion;
    }
    return CallerDistance::OtherRegion;
}

std::vector<RankedMember> rankMembers(const AddressQuery &query,
                                      const std::vector<EntryMember> &members)
{
    const RegionId region = regionOf(query, members);
    std::vector<RankedMember> ranked;
    ranked.reserve(members.size());
    for (const EntryMember &member : members) {
        if (member.isLeaving_) {
            continue;
        }
        const CallerDistance distance = distanceOf(member.location_, query.failureDomain_, region);
        const std::uint64_t weight = rendezvousWeight(query.caller_, member.id_.value());
        ranked.push_back({ &member, distance, weight });
    }
    std::sort(ranked.begin(), ranked.end(), isPreferred);
    return ranked;
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
    std::vector<const EntryMember *> skipped;
    for (const RankedMember &candidate : rankMembers(query, members)) {
        const std::size_t freePlaces = limits_.maxAddresses_ - list.entries_.size();
        const std::size_t missingDomains =
                limits_.minFailureDomains_ - std::min(limits_.minFailureDomains_, domains.size());
        const FailureDomainId &domain = candidate.member_->location_.failureDomain_;
        if (freePlaces == 0) {
            break;
        }
        if (domains.count(domain) != 0 && freePlaces <= missingDomains) {
            skipped.push_back(candidate.member_); // Reserves the place for another domain.
            continue;
        }
        domains.insert(domain);
        list.entries_.push_back(*candidate.member_);
    }
    for (const EntryMember *member : skipped) {
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
