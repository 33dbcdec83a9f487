// Assigns the owner and the backup of each backend server.
#pragma once

#include "qz_core/ids/ids.h"

#include <map>
#include <string>
#include <vector>

namespace qz {

/// Role of an instance for a backend server. Owner and backup keep the server in use and send the
/// first trial requests after an ejection. Other instances choose the server by its cost alone and
/// send trial requests only after PlacementSettings::nonOwnerTrialDelay_, so that only a few
/// requests are lost to find out that the server fails.
enum class ServerRole : std::uint8_t {
    None,   ///< Neither owner nor backup.
    Owner,  ///< An instance in the server's failure domain.
    Backup, ///< An instance in another domain; active while many requests fail.
};

/// An instance that callers connect to.
struct RoleCandidate
{
    InstanceId id_;
    Location location_;
};

/// Assigns the roles for all servers to the instances that callers connect to, by rendezvous
/// hashing. While instances disagree on this set of instances, a server can have no owner or two
/// owners; the backup covers the first case.
/// @see choosePlacement
class ServerRoles
{
public:
    explicit ServerRoles(InstanceId self);

    /// Sets the instances that callers of all failure domains connect to.
    void setCandidates(std::vector<RoleCandidate> candidates);

    /// Returns the role of this instance for a server.
    ServerRole find(const BackendServerId &server, const Location &location) const;

private:
    ServerRole compute(const BackendServerId &server, const Location &location) const;

    const InstanceId self_;
    std::vector<RoleCandidate> candidates_;
    /// Roles by server. Invariant: computed from candidates_.
    mutable std::map<BackendServerId, ServerRole> cache_;
};

} // namespace qz
