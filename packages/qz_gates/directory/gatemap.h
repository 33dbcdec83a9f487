// Which instance is the gate of which backend server.
#pragma once

#include "qz_fleet/membership/member.h"
#include "qz_platform/instances/instancelist.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace qz {

/// Orders the instances that may be the gate of a server: the live ones of its own failure
/// domain in the rendezvous order for the server and, where those are few, the others after
/// them. An order is worked out when it is first asked for, over one failure domain only, so
/// that the cost of a change of members does not grow with fleet and servers together.
class GateMap
{
public:
    /// Takes all members; leaving ones are no gates.
    void setMembers(const std::vector<Member> &members);

    /// The gates of @p server, first choice first; empty only if no instance is live.
    const std::vector<InstanceId> &gatesOf(const ListedBackendServer &server) const;

private:
    static constexpr std::size_t minCandidates = 3;

    std::map<FailureDomainId, std::vector<std::string>> liveByDomain_;
    mutable std::unordered_map<BackendServerId, std::vector<InstanceId>> orders_;
};

} // namespace qz
