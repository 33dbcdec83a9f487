// The choice of claim homes.
#include "qz_once/homes/claimhomes.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

constexpr std::string_view homesKey = "once/homes";

} // namespace

void ClaimHomes::setMembers(const std::vector<InstanceId> &members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const InstanceId &member : members) {
        names.push_back(member.value());
    }
    names = rendezvousOrder(homesKey, std::move(names));
    names.resize(std::min(names.size(), count_));
    homes_ = std::move(names);
}

std::vector<InstanceId> ClaimHomes::homesOf(std::string_view rowKey) const
{
    std::vector<InstanceId> homes;
    homes.reserve(homes_.size());
    for (std::string &name : rendezvousOrder(rowKey, homes_)) {
        homes.emplace_back(std::move(name));
    }
    return homes;
}

} // namespace qz
