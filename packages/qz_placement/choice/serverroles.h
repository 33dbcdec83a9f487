// Which instance looks after which backend server.
#pragma once

#include "qz_core/ids/ids.h"

#include <map>
#include <string>
#include <vector>

namespace qz {

/// What an instance does to keep a server in use and to find out whether it has recovered.
/// Other instances use the server by its cost alone, so that few requests find out that it
/// fails.
enum class ServerRole : std::uint8_t {
    None,
    Owner,  ///< One instance of the server's failure domain.
    Backup, ///< One of another domain: steps in while many requests fail.
};

/// An instance that callers are sent to.
struct RoleCandidate
{
    InstanceId id_;
    Location location_;
};

/// Deals out the duties for all servers among the instances that callers are sent to, by
/// rendezvous hash. Instances that disagree on who these are leave a server without its owner,
/// or with two, for a moment; the deputy covers the first case.
/// @see choosePlacement
class ServerRoles
{
public:
    explicit ServerRoles(InstanceId self);

    /// The instances that callers of all failure domains are sent to.
    void setCandidates(std::vector<RoleCandidate> candidates);

    /// This instance's duty for a server.
    ServerRole find(const BackendServerId &server, const Location &location) const;

private:
    ServerRole compute(const BackendServerId &server, const Location &location) const;

    const InstanceId self_;
    std::vector<RoleCandidate> candidates_;
    /// Invariant: computed with the present candidates, for servers asked for since.
    mutable std::map<BackendServerId, ServerRole> known_;
};

} // namespace qz
