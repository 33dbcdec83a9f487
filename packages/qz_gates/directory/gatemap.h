// Determines which instances may be the gate of a backend server.
#pragma once

#include "qz_fleet/membership/member.h"
#include "qz_platform/instances/instancelist.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace qz {

/// Orders the instances that may be the gate of a server: the live instances of its failure domain
/// in the order of rendezvous hashing. If these are few, the live instances of the other failure
/// domains follow, in the same order.
///
/// An order is computed on first use and usually covers one failure domain only. So the cost of a
/// membership change does not grow with the number of instances times the number of servers.
class GateMap
{
public:
    /// Replaces the members. Only live members can be gates.
    void setMembers(const std::vector<Member> &members);

    /// Returns the possible gates of @p server, best first. Empty only if no instance is live.
    const std::vector<InstanceId> &gatesOf(const ListedBackendServer &server) const;

private:
    /// With fewer candidates in the failure domain, instances of other domains are added.
    static constexpr std::size_t minCandidates = 3;

    std::map<FailureDomainId, std::vector<std::string>> liveByDomain_;

    /// Computed on first use.
    mutable std::unordered_map<BackendServerId, std::vector<InstanceId>> orders_;
};

} // namespace qz
