// Determines which instances may be the gate of a backend server.
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
    const auto found = orders_.find(server.id_);
    if (found != orders_.end()) {
        return found->second;
    }
    std::vector<InstanceId> &order = orders_[server.id_];
    const auto append = [&](std::vector<std::string> instanceIds) {
        for (std::string &instanceId :
             rendezvousOrder(server.id_.value(), std::move(instanceIds))) {
            order.emplace_back(std::move(instanceId));
        }
    };
    const FailureDomainId &ownDomain = server.location_.failureDomain_;
    const auto ownDomainInstances = liveByDomain_.find(ownDomain);
    if (ownDomainInstances != liveByDomain_.end()) {
        append(ownDomainInstances->second);
    }
    if (order.size() < minCandidates) {
        std::vector<std::string> otherInstances;
        for (const auto &[domain, instanceIds] : liveByDomain_) {
            if (domain != ownDomain) {
                otherInstances.insert(otherInstances.end(), instanceIds.begin(), instanceIds.end());
            }
        }
        append(std::move(otherInstances));
    }
    return order;
}

} // namespace qz
