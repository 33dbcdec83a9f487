// Which instance is the gate of which backend server.
#include "qz_gates/directory/gatemap.h"

#include "qz_core/hashing/rendezvous.h"

#include <utility>

namespace qz {

void GateMap::setMembers(const std::vector<Member> &members)
{
    orders_.clear();
    liveByDomain_.clear();
    for (const Member &member : members) {
        if (member.state_ == MemberState::Live) {
            liveByDomain_[member.location_.failureDomain_].push_back(member.id_.value());
        }
    }
}

const std::vector<InstanceId> &GateMap::gatesOf(const ListedBackendServer &server) const
{
    const auto known = orders_.find(server.id_);
    if (known != orders_.end()) {
        return known->second;
    }
    std::vector<InstanceId> &order = orders_[server.id_];
    const auto append = [&](std::vector<std::string> names) {
        for (std::string &name : rendezvousOrder(server.id_.value(), std::move(names))) {
            order.emplace_back(std::move(name));
        }
    };
    const FailureDomainId &own = server.location_.failureDomain_;
    const auto near = liveByDomain_.find(own);
    if (near != liveByDomain_.end()) {
        append(near->second);
    }
    if (order.size() < minCandidates) {
        std::vector<std::string> others;
        for (const auto &[domain, names] : liveByDomain_) {
            if (domain != own) {
                others.insert(others.end(), names.begin(), names.end());
            }
        }
        append(std::move(others));
    }
    return order;
}

} // namespace qz
